// Frame of a case: runs it once, ends what it started, and sets the exit status (0 held, 1 broken, 2 could not run).
import { existsSync, rmSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { ROOT, Site } from "./site.mjs";

const MOST_MS = 116_000;

/**
 * `play(site, trouble)` resolves to a list of texts, one for each break of the rule; an empty list: it held. It throws
 * where the case could not run. `options`: those of `Site`, but for the folder.
 */
export const runCase = async (url, options, play) => {
  const folder = dirname(fileURLToPath(url));
  const trouble = process.env.TROUBLE !== "0";
  if (!existsSync(join(ROOT, "target/main.js"))) {
    console.error("target/main.js is missing: run the build of deploy/service.toml first");
    process.exit(2);
  }
  const site = new Site({ ...options, folder });
  const endAll = () => {
    for (const child of site.children) {
      try {
        child.expected = true;
        child.kill("SIGKILL");
      } catch {}
    }
    if (site.folder) rmSync(site.folder, { recursive: true, force: true });
  };
  process.on("exit", endAll);
  for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"]) process.on(signal, () => process.exit(2));
  const timer = setTimeout(() => {
    site.note("could not run", "out of time");
    process.exit(2);
  }, MOST_MS);
  let status = 2;
  try {
    site.note("case", { trouble, site: options.site });
    await site.start();
    const broken = await play(site, trouble);
    for (const text of broken) {
      site.note("BROKEN", text);
      console.log(`broken: ${text}`);
    }
    status = broken.length > 0 ? 1 : 0;
  } catch (error) {
    site.note("could not run", String(error?.stack ?? error));
    console.error(`could not run: ${error}`);
  }
  clearTimeout(timer);
  await site.stop();
  site.note("exit status", status);
  process.exit(status);
};
