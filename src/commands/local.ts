import type { Command } from "commander";
export const addLocal = (_program: Command): void => {};
