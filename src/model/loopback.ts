import { type Micros, seconds, systemClock, type Timer } from "../transport/clock.js";
import type { HttpClient } from "../transport/http.js";
import { NetHttpClient, splitAddress } from "../transport/http-client.js";
import { HttpServer, type ServerLimits } from "../transport/http-server.js";
import type { Host, Net } from "./network.js";
import type { Timeline } from "./simulation.js";

/** Real time since construction, as a timeline. */
export class RealTime implements Timeline {
  private readonly startedAt = systemClock.now();
  private stopped = false;

  get now(): number {
    return systemClock.now() - this.startedAt;
  }

  at(time: number, run: () => void): Timer {
    return this.after(time - this.now, run);
  }

  after(delay: number, run: () => void): Timer {
    return systemClock.after(Math.max(0, delay) as Micros, () => {
      if (!this.stopped) run();
    });
  }

  /** Suppresses all scheduled callbacks. */
  stop(): void {
    this.stopped = true;
  }
}

const LIMITS: ServerLimits = {
  maxConnections: 4_096,
  keepConnections: 4_096,
  requestTimeout: seconds(10),
  idleTimeout: seconds(120),
  maxConcurrentRequests: 4_096,
};

/** A port is not available or a controller is not ready. The message is one line, with the address if known. */
export class PortError extends Error {}

const PORT_REUSE_DELAY = seconds(60);
const LOOPBACK_HOST = "127.0.0.1";

/** Network of the model over real sockets of 127.0.0.1, one port per host; all ports are bound at the start. */
export class Loopback implements Net {
  private readonly hosts = new Map<string, Host>();
  private readonly servers: HttpServer[] = [];
  private readonly freeAddresses: string[] = [];
  private readonly retiredAddresses: string[] = [];
  private readonly http = new NetHttpClient(systemClock, 1_024);

  /** Binds the `fixed` addresses and `machines` further ports; throws `PortError` if a port is not available. */
  static async open(fixed: readonly string[], machines: number, onError: (error: unknown) => void): Promise<Loopback> {
    const net = new Loopback();
    try {
      for (const address of fixed) await net.listen(splitAddress(address).port, onError);
      for (let at = 0; at < machines; at += 1) net.freeAddresses.push(await net.listen(0, onError));
    } catch (error) {
      await net.close();
      throw error;
    }
    return net;
  }

  private async listen(port: number, onError: (error: unknown) => void): Promise<string> {
    let address = `${LOOPBACK_HOST}:${port}`;
    const server = new HttpServer(
      systemClock,
      LIMITS,
      (request) => {
        const host = this.hosts.get(address);
        // Requests to a machine that no longer exists get no response.
        if (host === undefined || host.state !== "up") return new Promise(() => undefined);
        return host.serve(request, "loopback");
      },
      onError,
    );
    try {
      await server.listen(LOOPBACK_HOST, port);
    } catch (error) {
      const code = (error as NodeJS.ErrnoException).code ?? String(error);
      throw new PortError(`${address}: ${code === "EADDRINUSE" ? "port in use" : code}`);
    }
    this.servers.push(server);
    address = `${LOOPBACK_HOST}:${server.port}`;
    return address;
  }

  address(): string {
    const address = this.freeAddresses.shift() ?? this.retiredAddresses.shift();
    if (address === undefined) throw new PortError("no port left for a machine");
    return address;
  }

  add(host: Host): void {
    this.hosts.set(host.address, host);
  }

  remove(host: Host): void {
    const { address } = host;
    this.hosts.delete(address);
    // Workers check only fencing token and incarnation of a command: one in flight to the removed machine would be
    // executed by its successor on the same port. So the port is not reused until any such command has timed out.
    this.retiredAddresses.push(address);
    systemClock.after(PORT_REUSE_DELAY, () => {
      const at = this.retiredAddresses.indexOf(address);
      if (at < 0) return;
      this.retiredAddresses.splice(at, 1);
      this.freeAddresses.push(address);
    });
  }

  client(): HttpClient {
    return this.http;
  }

  async close(): Promise<void> {
    await Promise.all(this.servers.map((server) => server.close()));
  }
}
