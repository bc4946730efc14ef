/** Finds the route of a request by the longest declared prefix of its path. */

import type { ServiceName } from "@rackspan/common";
import type { Route, ServiceDeclaration } from "@rackspan/state";

export interface RouteMatch {
  readonly service: ServiceName;
  readonly route: Route;
}

/** `/checks/a?b` has the prefixes `/checks` and `/checks/`, but not `/check`. */
const hasPrefix = (path: string, prefix: string): boolean => {
  if (!path.startsWith(prefix)) return false;
  if (prefix.endsWith("/") || path.length === prefix.length) return true;
  const next = path[prefix.length];
  return next === "/" || next === "?";
};

/** The first segment of `/checks/a` and `/checks?a` is `checks`. */
const firstSegment = (path: string): string =>
  /^\/([^/?]*)/.exec(path)?.[1] ?? "";

export class RouteTable {
  /** Matches by first path segment, longest prefix first. */
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

/** Equal prefixes are ordered by service name, so that all entries choose the same route. */
const byLength = (a: RouteMatch, b: RouteMatch): number =>
  b.route.prefix.length - a.route.prefix.length ||
  (a.service < b.service ? -1 : 1);
