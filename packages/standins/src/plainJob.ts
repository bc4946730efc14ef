/** Builds an accepted job with default steps; tests override only the relevant fields. */

import { brand, type ServiceName } from "@rackspan/common";
import type {
  AcceptedJob,
  ImageName,
  JobId,
  JobTerms,
  QueueKey,
  RepeatSpec,
  StepSpec,
} from "@rackspan/state";

export const PLAIN_STEP: StepSpec = {
  taskCount: 1,
  demand: { milliCores: 1_000, memoryMiB: 100, accelerators: 0 },
  estimateMs: 1_000,
  after: [],
  checkpointing: false,
  gang: false,
  sameRack: false,
  requiredLabel: "",
  dataRack: "",
  maxPerHost: 0,
  replicable: false,
  lasting: false,
  image: brand<ImageName>(""),
  tailTargetMs: 0,
  filling: false,
  mayMiss: undefined,
};

export interface PlainJobOptions {
  readonly id: string;
  readonly acceptedAt: number;
  readonly steps?: readonly Partial<StepSpec>[];
  readonly repeat?: RepeatSpec;
  readonly terms?: Partial<JobTerms>;
}

export const plainJob = ({
  id,
  acceptedAt,
  steps = [{}],
  repeat,
  terms,
}: PlainJobOptions): AcceptedJob => ({
  spec: {
    id: brand<JobId>(id),
    queue: brand<QueueKey>("calls.example/minutes/"),
    payload: "work",
    steps: steps.map((step) => ({ ...PLAIN_STEP, ...step })),
    repeat,
  },
  acceptedAt,
  terms: {
    service: brand<ServiceName>("kaigi"),
    priority: 0,
    maxAttempts: 2,
    stretch: 2,
    targetLatencyMs: 250,
    ...terms,
  },
});
