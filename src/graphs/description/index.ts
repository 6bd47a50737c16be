/** All that reads definitions; loaded when the first one comes, since its libraries weigh more than the rest. */
export { compile, type RunWords } from "./compile.js";
export { type GraphDocument, readDocument } from "./document.js";
export { GraphError, type PlacedProblem, type Problem, placedText, problemText } from "./problem.js";
export { isClear, isPart, isSubmission, type Part, type Submission, whyNot } from "./requests.js";
export { graphSchema } from "./schema.js";
export { TemplateError, Templates } from "./templates.js";
export { readText } from "./text.js";
