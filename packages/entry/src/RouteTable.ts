/** Finds the route of a request by the longest declared prefix of its path. */

import type { ServiceName } from "@rackspan/common";
import type { Route, ServiceDeclaration } from "@rackspan/state";

export interface RouteMatch {
  readonly service: ServiceName;
  readonly route: Route;
}

/** `/checks/a?b` starts with `/checks` and `/checks/`, and not with `/check`. */
const hasPrefix = (path: string, prefix: string): boolean => {
  if (!path.startsWith(prefix)) return false;
  if (prefix.endsWith("/") || path.length === prefix.length) return true;
  const next = path[prefix.length];
  return next === "/" || next === "?";
};

/** `/checks/a` and `/checks?a` begin with the segment `checks`. */
const firstSegment = (path: string): string =>
  /^\/([^/?]*)/.exec(path)?.[1] ?? "";

export class RouteTable {
  /** The longest prefix first within each first segment. */
  private readonly bySegment = new Map<string, RouteMatch[]>();

  constructor(services: readonly ServiceDeclaration[]) {
    for (const { name, routes } of services) {
      for (const route of routes) this.add({ service: name, route });
    }
    for (const matches of this.bySegment.values()) matches.sort(byLength);
  }

  find(path: string): RouteMatch | undefined {
    return this.search(firstSegment(path), path) ?? this.search("", path);
  }

  private search(segment: string, path: string): RouteMatch | undefined {
    const matches = this.bySegment.get(segment);
    return matches?.find(({ route }) => hasPrefix(path, route.prefix));
  }

  private add(match: RouteMatch): void {
    const segment = firstSegment(match.route.prefix);
    const matches = this.bySegment.get(segment) ?? [];
    matches.push(match);
    this.bySegment.set(segment, matches);
  }
}

/** Equal prefixes go by service name, so that all entries agree. */
const byLength = (a: RouteMatch, b: RouteMatch): number =>
  b.route.prefix.length - a.route.prefix.length ||
  (a.service < b.service ? -1 : 1);
