import type { Services, ShardContext } from "../../coordination/context.js";
import type { Extension, ExtensionFactory, ShardControls, ShardExtension } from "../../coordination/extension.js";
import type { MachineType } from "../../protocol/cloud.js";
import type { JobSpec } from "../../protocol/job-spec.js";
import type { GraphOptions } from "../../settings/graph-options.js";
import type { HttpRequest, HttpResponse } from "../../transport/http.js";
import { GraphApi } from "./graph-api.js";
import { graphKey, isStopped, readHeader } from "./records.js";
import { Runner } from "./runner.js";

/** The scheduler extension of one controller that runs DAGs: serves their API and runs them in the shards it leads. */
class GraphExtension implements Extension {
  private readonly runners = new Set<Runner>();
  private readonly api: GraphApi;

  constructor(
    private readonly services: Services,
    types: ReadonlyMap<string, MachineType>,
    private readonly options: GraphOptions,
  ) {
    this.api = new GraphApi(services, types, options, (id) => {
      for (const runner of this.runners) {
        const states = runner.stateOf(id);
        if (states !== null) return states;
      }
      return null;
    });
  }

  handle(request: HttpRequest): Promise<HttpResponse> | null {
    return this.api.handle(request);
  }

  acquireShard(context: ShardContext, controls: ShardControls): ShardExtension {
    const runner = new Runner(context, controls, this.options);
    this.runners.add(runner);
    return {
      onChange: (change) => runner.onChange(change),
      onJobEnded: (spec, end) => runner.onJobEnded(spec, end),
      onTaskFailed: (spec, index, reason) => runner.onTaskFailed(spec, index, reason),
      stop: () => {
        runner.stop();
        this.runners.delete(runner);
      },
    };
  }

  isCancelledWithRun(spec: JobSpec): boolean {
    if (spec.origin === undefined) return false;
    const entry = this.services.cache.entries.get(graphKey(spec.origin.graph));
    return entry !== undefined && isStopped(readHeader(entry.value));
  }
}

/** Creates the factory of the extension that runs DAGs. */
export const graphExtension =
  (options: GraphOptions): ExtensionFactory =>
  (services, types) =>
    new GraphExtension(services, types, options);
