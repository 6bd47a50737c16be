// Tells which of several processes opened a loopback connection, so that one address can serve all and cut off one.
import { readdirSync, readFileSync, readlinkSync } from "node:fs";

const LOOPBACK = "0100007F";

const hexPort = (port) => port.toString(16).toUpperCase().padStart(4, "0");

/** The inode of the socket with this local port that is connected to `serverPort`; null if there is none. */
const inodeOf = (port, serverPort) => {
  const local = `${LOOPBACK}:${hexPort(port)}`;
  const remote = `${LOOPBACK}:${hexPort(serverPort)}`;
  for (const line of readFileSync("/proc/net/tcp", "utf8").split("\n")) {
    const fields = line.trim().split(/\s+/);
    if (fields[1] === local && fields[2] === remote) return fields[9];
  }
  return null;
};

const holdsSocket = (pid, inode) => {
  try {
    for (const name of readdirSync(`/proc/${pid}/fd`)) {
      try {
        if (readlinkSync(`/proc/${pid}/fd/${name}`) === `socket:[${inode}]`) return true;
      } catch {
        // Closed meanwhile.
      }
    }
  } catch {
    // The process has ended.
  }
  return false;
};

/** The index of the process among `pids` (null: none) that opened the connection, or -1. */
export const ownerOf = (remotePort, serverPort, pids) => {
  const inode = inodeOf(remotePort, serverPort);
  if (inode === null) return -1;
  return pids.findIndex((pid) => pid !== null && holdsSocket(pid, inode));
};
