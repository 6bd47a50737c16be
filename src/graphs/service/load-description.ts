type DescriptionModule = typeof import("../description/index.js");

let loaded: DescriptionModule | null = null;

/**
 * The module that reads definitions (YAML, schema, templates). Its libraries are loaded with the first definition
 * instead of at start-up, so that a controller starts quickly.
 */
export const loadDescription = async (): Promise<DescriptionModule> => {
  // Even the import of a loaded module is asynchronous, and simulated clocks do not wait for it.
  loaded ??= await import("../description/index.js");
  return loaded;
};
