import { test } from "node:test";
import type { IncomingMessage } from "node:http";
import { expect } from "earl";
import fc from "fast-check";
import { parseCallerRequest, RouteTable } from "@rackspan/entry";
import {
  forwardHeaders,
  HEADER,
  INTERNAL_HEADERS,
  parseAddress,
} from "@rackspan/protocol";
import { serviceSchema, type ServiceDeclaration } from "@rackspan/state";

const service = (name: string, ...prefixes: string[]): ServiceDeclaration =>
  serviceSchema.parse({
    kind: "service",
    name,
    replicas: 1,
    resources: { processors: 1, memoryMiB: 1 },
    program: { name: "endpoint" },
    routes: prefixes.map((prefix) => ({
      prefix,
      class: "query",
      repeatable: true,
      maxBodyBytes: 100,
    })),
  });

const TABLE = new RouteTable([
  service("bays", "/bays", "/bays/live"),
  service("other", "/bays/live/x", "/"),
]);

const found = (path: string): string | undefined => {
  const match = TABLE.find(path);
  return match && `${match.service} ${match.route.prefix}`;
};

test("the longest prefix of whole segments wins", () => {
  expect(found("/bays")).toEqual("bays /bays");
  expect(found("/bays?a=1")).toEqual("bays /bays");
  expect(found("/bays/live/y")).toEqual("bays /bays/live");
  expect(found("/bays/live/x/1")).toEqual("other /bays/live/x");
  expect(found("/bayside")).toEqual("other /");
  expect(new RouteTable([service("bays", "/bays")]).find("/bay")).toEqual(
    undefined,
  );
});

const anyPath = fc.string({
  unit: fc.constantFrom("/", "bays", "live", "x", "?", "%", "é", ".."),
  maxLength: 12,
});

test("every request head is either accepted, or refused as not run with a reason", () => {
  const value = fc.option(
    fc.oneof(fc.string({ maxLength: 300 }), fc.integer().map(String)),
    { nil: undefined },
  );
  const anyHead = fc.record({
    timeout: value,
    key: value,
    length: value,
    url: anyPath,
  });
  fc.assert(
    fc.property(anyHead, ({ timeout, key, length, url }) => {
      const headers = {
        [HEADER.TIMEOUT]: timeout,
        [HEADER.IDEMPOTENCY_KEY]: key,
        "content-length": length,
      };
      const parsed = parseCallerRequest(
        { url, headers } as unknown as IncomingMessage,
        TABLE,
      );
      if (parsed.ok) {
        expect(
          parsed.request.timeoutMs >= 1 &&
            parsed.request.timeoutMs <= 3_600_000,
        ).toEqual(true);
        expect((parsed.request.key ?? "k").length <= 200).toEqual(true);
        return;
      }
      const { status, outcome, detail, remedy } = parsed.problem;
      expect([outcome, status >= 400 && status < 600]).toEqual([
        "not-run",
        true,
      ]);
      expect(detail !== "" && remedy !== "").toEqual(true);
    }),
    { seed: 7, numRuns: 3_000 },
  );
});

const headerName = fc.constantFrom(
  "Connection",
  "X-One",
  "x-two",
  "TE",
  "Trailer",
  "Rackspan-Outcome",
  "Transfer-Encoding",
  "Set-Cookie",
);
const headerValue = fc.constantFrom(
  "a",
  "close, X-One",
  "x-two",
  "trailer",
  "",
);

test("forwarding keeps the order and repeats of headers, and removes hop-by-hop and internal ones", () => {
  fc.assert(
    fc.property(
      fc.array(fc.tuple(headerName, headerValue), { maxLength: 8 }),
      (pairs) => {
        const kept = forwardHeaders(pairs.flat(), {
          drop: INTERNAL_HEADERS,
          add: ["added", "1"],
        });
        const named = pairs
          .filter(([name]) => name === "Connection")
          .flatMap(([, value]) =>
            value.split(",").map((option) => option.trim().toLowerCase()),
          );
        const expected = pairs.filter(([name]) => {
          const lower = name.toLowerCase();
          if (
            [
              "connection",
              "te",
              "transfer-encoding",
              "rackspan-outcome",
            ].includes(lower)
          )
            return false;
          return lower === "trailer" || !named.includes(lower);
        });
        expect(kept).toEqual([...expected.flat(), "added", "1"]);
      },
    ),
    { seed: 7, numRuns: 2_000 },
  );
});

test("every text is either parsed as an address or refused with a TypeError", () => {
  expect(parseAddress("[::1]:80")).toEqual({ host: "::1", port: 80 });
  fc.assert(
    fc.property(
      fc.string({
        unit: fc.constantFrom(":", "1", "9", "a", ".", "-", " "),
        maxLength: 12,
      }),
      (text) => {
        try {
          const { host, port } = parseAddress(text);
          expect(host !== "" && port >= 0 && port <= 65_535).toEqual(true);
        } catch (err) {
          expect(err).toBeA(TypeError);
        }
      },
    ),
    { seed: 7, numRuns: 2_000 },
  );
});
