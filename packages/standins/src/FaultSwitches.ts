/** Faults that tests or operators of the stand-ins can switch on. */

import type { IncomingMessage, ServerResponse } from "node:http";

export type FaultName = "none" | "down" | "paused" | "answerLost" | "reset";

export class FaultSwitches {
  /** `down` answers 503, `paused` never answers, `reset` closes the connection, `answerLost` closes it after the call took effect. */
  mode: FaultName = "none";
  /** Delay added to each answer, milliseconds. */
  slowMs = 0;
  /** Number of further calls that take effect and whose answers are lost. */
  loseAnswers = 0;

  reset(): void {
    this.mode = "none";
    this.slowMs = 0;
    this.loseAnswers = 0;
  }

  /** @returns true when the call must not take effect and was answered here. */
  interceptBefore(req: IncomingMessage, res: ServerResponse): boolean {
    if (this.mode === "down") {
      res.writeHead(503, { "content-type": "application/json" });
      res.end('{"error":"down"}');
      req.resume();
      return true;
    }
    if (this.mode === "reset") {
      req.socket.destroy();
      return true;
    }
    return this.mode === "paused";
  }

  /** @returns true when the answer is lost though the call took effect. */
  interceptAfter(req: IncomingMessage): boolean {
    if (this.mode !== "answerLost" && this.loseAnswers <= 0) return false;
    if (this.loseAnswers > 0) this.loseAnswers -= 1;
    req.socket.destroy();
    return true;
  }
}
