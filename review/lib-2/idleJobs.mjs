/**
 * The rule LOST for idle jobs: "a job has nothing running for 3 s, while a task's turn has come,
 * there is capacity for it twice over, and under half of the service's capacity is in use".
 */

const IDLE_MS = 3_000;

const BEGINNING = "began";
const ENDINGS = ["done", "failed", "stopped", "lapsed", "lost"];

/** Begins and ends of runs of the job, each with the time and the number that run then. */
const runCounts = (site, id) => {
  let running = 0;
  const counts = [];
  for (const { at, event, task } of site.events) {
    if (!task.startsWith(`${id}.`)) continue;
    if (event === BEGINNING) running += 1;
    else if (ENDINGS.includes(event)) running -= 1;
    else continue;
    counts.push({ at, running });
  }
  return counts;
};

/**
 * The longest time until now in which the job had nothing running, milliseconds.
 *
 * @param from when the job was accepted
 * @param to when it was completed, or now
 */
export const longestIdleMs = (site, id, from, to = site.now) => {
  let idleSince = from;
  let longest = 0;
  for (const { at, running } of runCounts(site, id)) {
    if (idleSince !== undefined) longest = Math.max(longest, at - idleSince);
    idleSince = running > 0 ? undefined : at;
  }
  if (idleSince !== undefined) longest = Math.max(longest, to - idleSince);
  return longest;
};

/** Tasks that run on all workers together, at the moment. */
export const runningTasks = (site) =>
  site.workers.reduce((sum, worker) => sum + worker.runningTasks.length, 0);

/** Whether the workers have ended that many tasks of the job as done. */
const isDoneOnWorkers = (site, { id, tasks }) => {
  const done = site.events.filter(
    ({ event, task }) => event === "done" && task.startsWith(`${id}.`),
  );
  return new Set(done.map(({ task }) => task)).size >= tasks;
};

/**
 * The jobs with open tasks that nothing has run of for the last 3 s; all workers are idle
 * meanwhile. Goes by what the workers saw: a job whose state nobody tells may be done.
 *
 * @param jobs `id` and number of tasks of each
 */
export const idleJobs = (site, jobs) => {
  if (runningTasks(site) > 0) return [];
  const since = site.now - IDLE_MS;
  const isQuiet = ({ id }) =>
    !site.events.some(
      ({ at, task }) => at >= since && task.startsWith(`${id}.`),
    );
  return jobs.filter((job) => isQuiet(job) && !isDoneOnWorkers(site, job));
};
