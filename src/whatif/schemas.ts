import { eventSchemas, headerSchema, jobSchema, siteSchema } from "./format.js";
import { scenarioSchema } from "./scenario.js";
import { sweepSchema } from "./sweep.js";
import { synthSchema } from "./synth.js";

/** The schema of a kind of file, with those that it refers to; null for an unknown kind. */
export const schemaOf = (kind: string): object | null => {
  switch (kind) {
    case "trace":
      return {
        description: "First line: header. Every other line: an event, by the name in its field `event`.",
        header: headerSchema,
        events: eventSchemas,
        referredTo: [siteSchema, jobSchema],
      };
    case "site":
      return siteSchema;
    case "scenario":
      return scenarioSchema;
    case "sweep":
      return { ...sweepSchema, referredTo: [scenarioSchema] };
    case "synth":
      return { ...synthSchema, referredTo: [siteSchema] };
    default:
      return null;
  }
};
