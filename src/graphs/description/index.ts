/** Parsing and compiling of definitions. Loaded on first use, because its libraries are larger than the other code. */
export { compile, type RunContext } from "./compile.js";
export { type GraphDocument, readDocument } from "./document.js";
export { readText } from "./parse-text.js";
export { GraphError, type PlacedProblem, type Problem, placedText, problemText } from "./problem.js";
export { isClear, isPart, isSubmission, type Part, type Submission, validationMessage } from "./requests.js";
export { graphSchema } from "./schema.js";
export { TemplateError, Templates } from "./templates.js";
