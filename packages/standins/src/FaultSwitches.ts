/** Faults that a test or an operator of the stand-ins can switch on. */

import type { IncomingMessage, ServerResponse } from "node:http";

export type FaultName = "none" | "down" | "paused" | "answerLost" | "reset";

export class FaultSwitches {
  /** `down` answers 503, `paused` answers nothing, `reset` cuts the connection. */
  mode: FaultName = "none";
  /** Added to each answer, milliseconds. */
  slowMs = 0;
  /** How many further calls take effect and then lose their answer. */
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
