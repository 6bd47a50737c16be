// The rules of PROTOCOL-rainridge.md ("Rules"), checked as written on what users and machines see.
export class Checker {
  constructor(site) {
    this.site = site;
    this.broken = [];
    this.on = new Map(); // task -> Map(host#try -> { area, loaner, flavor })
    this.done = new Map(); // job -> Set(index)
    this.cancelled = new Map(); // ref -> time at which the user was told
    this.asked = new Set(); // jobs whose users asked to cancel them
    this.accepted = new Map();
    this.final = new Map(); // ref -> phase told
    site.listeners.push((event) => this.event(event));
  }

  rule(name, detail) {
    this.broken.push({ name, detail });
    this.site.note(`BROKEN ${name}`, detail);
  }

  event({ kind, host, area, loaner, flavor, task, try: attempt }) {
    if (task === undefined) return;
    const ref = task.slice(0, task.lastIndexOf("/"));
    const { site } = this;
    if (kind === "on") {
      const here = this.on.get(task) ?? new Map();
      this.on.set(task, here);
      if (here.size > 0) this.rule("ran_twice", { task, on: [...here.keys()], starts: `${host}#${attempt}` });
      const job = site.jobs.get(ref);
      const cancelledAt = this.cancelled.get(ref);
      if (cancelledAt !== undefined && site.now() - cancelledAt > site.spec.workers.cancelS)
        this.rule("ran_cancelled", { task, host, after: site.now() - cancelledAt });
      const zones = new Map();
      let others = 0;
      for (const [name, places] of this.on)
        if (name !== task && name.startsWith(`${ref}/`))
          for (const place of places.values()) {
            zones.set(place.area, (zones.get(place.area) ?? 0) + 1);
            others += 1;
          }
      if (job) {
        const wrong =
          (job.flavors && !job.flavors.includes(flavor)) ||
          (job.area && job.area !== area) ||
          (loaner && !job.loaner) ||
          (job.together && others > 0 && !(zones.get(area) > 0)) ||
          (job.spread && (zones.get(area) ?? 0) + 1 > Math.ceil(job.shards / 2));
        if (wrong) this.rule("wrong_place", { task, host, area, loaner, flavor, zones: [...zones] });
      }
      here.set(`${host}#${attempt}`, { area, loaner, flavor });
      this.quota(job);
    }
    if (kind === "off") this.on.get(task)?.delete(`${host}#${attempt}`);
    if (kind === "done") {
      const set = this.done.get(ref) ?? new Set();
      set.add(task);
      this.done.set(ref, set);
    }
  }

  quota(started) {
    if (!started) return;
    const team = this.site.spec.teams.find(({ name }) => name === started.owner);
    if (!team?.cpusMax) return;
    let used = 0;
    for (const [task, places] of this.on) {
      const job = this.site.jobs.get(task.slice(0, task.lastIndexOf("/")));
      if (job?.owner === team.name) used += job.cpus * places.size;
    }
    if (used > team.cpusMax + 1e-6) this.rule("quota", { team: team.name, used, limit: team.cpusMax });
  }

  /** A user's answer to a submission, poll or abort. `sentAt`: when it was asked. */
  told(kind, ref, status, body) {
    if (kind === "submit" && (status === 200 || status === 201)) this.accepted.set(ref, this.site.now());
    if (this.accepted.has(ref) && ((kind === "poll" && status === 404) || (kind === "submit" && (status === 400 || status === 422))))
      this.rule("forgotten", { ref, kind, status });
    if (kind === "poll" && status === 200 && !this.site.jobs.has(ref)) this.rule("invented", { ref, body });
    if (status !== 200 && status !== 201) return;
    const phase = body?.phase;
    const before = this.final.get(ref);
    if (before !== undefined && phase !== before) this.rule("went_back", { ref, before, now: phase });
    if (phase === "withdrawn" && !this.asked.has(ref)) this.rule("went_back", { ref, now: phase, asked: false });
    if (phase === "done") {
      const job = this.site.jobs.get(ref);
      if (job && (this.done.get(ref)?.size ?? 0) < job.shards)
        this.rule("not_done", { ref, done: this.done.get(ref)?.size ?? 0, shards: job.shards });
    }
    if (phase === "done" || phase === "withdrawn") this.final.set(ref, phase);
    if (phase === "withdrawn" && !this.cancelled.has(ref)) {
      this.cancelled.set(ref, this.site.now());
      const { cancelS } = this.site.spec.workers;
      setTimeout(() => {
        for (const [task, places] of this.on)
          if (task.startsWith(`${ref}/`) && places.size > 0) this.rule("ran_cancelled", { task, on: [...places.keys()] });
      }, cancelS * 1000 + 100).unref();
    }
  }
}
