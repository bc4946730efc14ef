export * from "./ClaimKeeper.js";
export * from "./FirstSeen.js";
export * from "./HostCertifier.js";
export * from "./HostDrainer.js";
export * from "./RendezvousOwnership.js";
export * from "./sampleHosts.js";
export * from "./types.js";
export * from "./UnitPlacer.js";
