/**
 * The longest time for which none of a job's tasks had a run, milliseconds.
 *
 * @param events starts and ends of the job's runs, as the workers recorded them
 */
export const longestWithoutRun = (events, from, until) => {
  let running = 0;
  let since = from;
  let longest = 0;
  for (const { at, event } of [...events].sort((a, b) => a.at - b.at)) {
    if (event === "start") {
      if (running === 0) longest = Math.max(longest, at - since);
      running += 1;
    }
    if (event === "end") {
      running -= 1;
      since = at;
    }
  }
  return running > 0 ? longest : Math.max(longest, until - since);
};
