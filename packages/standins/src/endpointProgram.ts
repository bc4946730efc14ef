/** Runs a stand-in endpoint as a replica of a service. Argument: `latencyMs`. */

import { EndpointStandin } from "./EndpointStandin.js";
import { numberArg, type Program } from "./programTypes.js";

export const endpointProgram: Program = async (context) => {
  const endpoint = new EndpointStandin({
    name: `${context.unit}@${context.worker}`,
    requests: context.requests,
    latencyMs: numberArg(context.args, "latencyMs", 0),
  });
  const address = await endpoint.listen();
  return {
    address,
    kill: () => endpoint.kill(),
    checkpoint: () => undefined,
  };
};
