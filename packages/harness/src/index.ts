export * from "./Caller.js";
export * from "./EventWatch.js";
export * from "./knownRed.js";
export * from "./OperatorSession.js";
export * from "./Site.js";
export * from "./siteFile.js";
export * from "./StandinPlatform.js";
export * from "./waitUntil.js";
