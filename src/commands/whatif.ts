/** Registers the commands `whatif ...` with their flags and help texts. */
import { type Command, Option } from "commander";
import { appendValue, durationOption, parseDuration, parsePositiveNumber, parseWholeNumber } from "./cli.js";
import { compareVariants, runSweep } from "./whatif-compare.js";
import type { GraphLoadFlags } from "./whatif-graphs.js";
import { measureLoad } from "./whatif-load.js";
import { run, verify } from "./whatif-run.js";
import { check, convertFiles, printSchema, record, synth } from "./whatif-traces.js";

/** Adds `whatif ...`: replays of traces under changed settings, and what is needed to prepare and compare them. */
export const addWhatif = (program: Command): void => {
  const group = program
    .command("whatif")
    .description("replay a trace against a changed policy, compare, and search for better settings")
    // Only subcommands that are created after this call inherit it.
    .enablePositionalOptions();
  group
    .command("run <trace>")
    .description("replay a trace and tell how each job fares")
    .option("--site <file>", "a site (JSON) in place of the trace's own")
    .option("--options <file>", "operators' settings (JSON)")
    .option(
      "--set <key=value>",
      "change a setting: kappa=0.3, teams.search.cpusMax=64, jobs.reindex.rank=normal, capacity.large.east.spot=4 (repeatable)",
      appendValue,
      [],
    )
    .option("--seed <n>", "luck: boots, fetches, speeds, delays", parseWholeNumber, 1)
    .option("--until <time>", "end after this time of the trace, such as 90m", parseDuration)
    .option("--add <trace>", "add the load of a second trace")
    .option("--at <time>", "when the second trace begins, such as 2h", parseDuration)
    .option("--fast", "the fast model: decisions only, times in place of requests")
    .option("--lenient", "leave faulty events out, and say so, instead of refusing the trace")
    .option("--progress", "tell how far it has come")
    .option("--json", "the whole result as JSON")
    .option("--out <dir>", "write outcome.json and jobs.csv there")
    .option("--record <file>", "record the replay as a trace of its own")
    .addHelpText(
      "after",
      `
Examples:
  rainridge whatif run examples/traces/night.jsonl.gz
  rainridge whatif run night.jsonl.gz --set teams.search.cpusMax=64 --set kappa=0.3 --fast
  rainridge whatif run reindex.jsonl.gz --add export.jsonl.gz --at 2h --out result`,
    )
    .action(run);
  group
    .command("compare [files...]")
    .description(
      "compare scenarios over several seeds, or results of run --out; the first is what the others are held against",
    )
    .option("--trace <file>", "trace for --variant")
    .option(
      "--variant <name:settings>",
      "a variant of the trace: baseline, or low:kappa=0.2,headroom=2 (repeatable)",
      appendValue,
      [],
    )
    .option("--seeds <n>", "replays of each", parseWholeNumber, 5)
    .option("--threads <n>", "replays at the same time", parseWholeNumber)
    .option("--fast", "the fast model, for --variant")
    .option("--progress", "tell how far it has come")
    .option("--json", "answer as JSON")
    .option("--html <file>", "write a report with plots, which opens from disk")
    .option("--svg <dir>", "write the plots apart")
    .addHelpText(
      "after",
      `
Examples:
  rainridge whatif compare before/outcome.json after/outcome.json
  rainridge whatif compare --trace night.jsonl.gz --variant now --variant tight:teams.search.cpusMax=64 --seeds 20 --fast --html report.html`,
    )
    .action(compareVariants);
  group
    .command("sweep <spec>")
    .description("search settings by grid or at random against aims; goes on where it was after a kill")
    .requiredOption("--out <file>", "results (JSON Lines), added to as they come")
    .option("--threads <n>", "replays at the same time", parseWholeNumber)
    .option("--progress", "tell how far it has come")
    .option("--svg <file>", "write the Pareto plot")
    .option("--json", "answer as JSON")
    .addHelpText(
      "after",
      "\nExample:\n  rainridge whatif sweep examples/traces/sweep.json --out results.jsonl --svg pareto.svg",
    )
    .action(runSweep);
  group
    .command("verify <trace>")
    .description("play a trace on real sockets and in replay, in real time, and compare the order in which jobs finish")
    .option("--seed <n>", "luck of both", parseWholeNumber, 1)
    .option("--port <n>", "first of the eight ports", parseWholeNumber, 7_440)
    .option(
      "--tie <time>",
      "jobs closer than this in either run are ties; one reporting period by default",
      parseDuration,
    )
    .option("--progress", "tell how far it has come")
    .option("--json", "answer as JSON")
    .addHelpText("after", "\nExample:\n  rainridge whatif verify examples/traces/short.jsonl --progress")
    .action(verify);
  group
    .command("record")
    .description("record a trace of a running site from outside, through its state service and cloud, until Ctrl-C")
    .requiredOption("--config <file>", "settings of one of its controllers (TOML)")
    .requiredOption("--out <file>", "trace to write (.gz: compressed)")
    .option("--for <time>", "end after this time, such as 2h", parseDuration)
    .option("--progress", "tell how many events there are")
    .option("--json", "answer as JSON")
    .addHelpText("after", "\nExample:\n  rainridge whatif record --config settings.toml --out night.jsonl.gz --for 8h")
    .action(record);
  group
    .command("convert <files...>")
    .description("put recorded traces, or logs at LOG_LEVEL=debug, of several controllers together into one trace")
    .requiredOption("--out <file>", "trace to write (.gz: compressed)")
    .option("--config <file>", "settings of a controller, where there are only logs")
    .option("--json", "answer as JSON")
    .addHelpText("after", "\nExample:\n  rainridge whatif convert traces/trace-*.jsonl --out night.jsonl.gz")
    .action(convertFiles);
  group
    .command("schema <of>")
    .description("print a JSON Schema: of trace, site, scenario, sweep or synth files")
    .addHelpText("after", "\nExample:\n  rainridge whatif schema trace")
    .action(printSchema);
  group
    .command("check <trace>")
    .description("check a trace: the first fault is named by line and field")
    .option("--lenient", "list faulty events instead of stopping at the first")
    .option("--json", "answer as JSON")
    .addHelpText("after", "\nExample:\n  rainridge whatif check night.jsonl.gz")
    .action(check);
  group
    .command("graphs")
    .description("how long steps of graphs wait for each other's ends, and what they write (simulated, or loopback)")
    .addOption(
      new Option("--shape <shape>", "of each graph")
        .choices(["wide", "chain", "layered", "mapped", "many"])
        .default("many"),
    )
    .option("--steps <n>", "steps of a graph", parseWholeNumber, 20)
    .option("--graphs <n>", "graphs submitted at once", parseWholeNumber, 1)
    .option("--machines <n>", "machines of 16 CPUs", parseWholeNumber, 60)
    .option("--writes <n>", "changes a second that the state service takes", parseWholeNumber, 30)
    .addOption(durationOption("--run <time>", "a step's run time", 1_000_000))
    .addOption(durationOption("--until <time>", "end after this time", 3_600_000_000))
    .addOption(durationOption("--over <time>", "submit the graphs evenly over this time instead of at once", 0))
    .addOption(durationOption("--end-all <time>", "end all controllers at once at this time; simulated only", 0))
    .option("--seed <n>", "luck of delays", parseWholeNumber, 1)
    .option("--loopback", "real controllers on loopback instead of simulated ones")
    .option("--port <n>", "first port for that", parseWholeNumber, 7_600)
    .option("--cost", "memory and processor time of the runs alone, in this process")
    .option("--json", "the result as JSON")
    .addHelpText("after", "\nExample:\n  rainridge whatif graphs --shape chain --steps 200 --writes 2000 --loopback")
    .action(async (flags: GraphLoadFlags) => (await import("./whatif-graphs.js")).measureGraphLoad(flags));
  group
    .command("load")
    .description("how many machines controllers of a size carry, and which limit comes first (simulated machines)")
    .option("--machines <list>", "sizes of the fleet", "500,1000,2000,3000,4000,5000")
    .option("--core <share>", "share of a core that a controller has", parsePositiveNumber, 0.3)
    .option("--memory <mb>", "its memory", parseWholeNumber, 200)
    .option("--sockets <n>", "its connections", parseWholeNumber, 2_000)
    .addOption(durationOption("--report <time>", "workers report so often", 5_000_000))
    .addOption(durationOption("--lease <time>", "workers' lease", 30_000_000))
    .option("--writes <n>", "changes a second of the state service", parseWholeNumber, 30)
    .addOption(durationOption("--until <time>", "end of each run", 150_000_000))
    .addOption(durationOption("--end-all <time>", "when all controllers end at once; 0: never", 90_000_000))
    .option("--unbounded", "without taking turns with connections and without shedding load, as before")
    .option("--both", "each size without and with")
    .option("--seed <n>", "luck", parseWholeNumber, 1)
    .option("--progress", "tell how far it has come")
    .option("--svg <file>", "write a plot")
    .option("--json", "answer as JSON")
    .addHelpText(
      "after",
      "\nExamples:\n  rainridge whatif load --machines 1000,4000 --both --progress\n  rainridge whatif load --machines 2500 --core 0.2 --sockets 1500 --json",
    )
    .action(measureLoad);
  group
    .command("synth <spec>")
    .description("draw a trace from distributions, with troubles at set times")
    .requiredOption("--out <file>", "trace to write (.gz: compressed)")
    .option("--seed <n>", "in place of the specification's", parseWholeNumber)
    .option("--json", "answer as JSON")
    .addHelpText("after", "\nExample:\n  rainridge whatif synth examples/traces/night.json --out night.jsonl.gz")
    .action(synth);
};
