type Description = typeof import("../description/index.js");

let loaded: Description | null = null;

/**
 * What reads definitions: YAML, schema and templates. Their libraries load with the first definition that comes, and
 * not with a controller's start, which is to be quick.
 */
export const describing = async (): Promise<Description> => {
  // An import takes its time even for what is there already, and simulated clocks do not wait for it.
  loaded ??= await import("../description/index.js");
  return loaded;
};
