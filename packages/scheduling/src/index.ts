import "./bestFitPlacer.js";
import "./firstFitPlacer.js";
import "./leastLoadedPlacer.js";
import "./spreadPlacer.js";

export { placers, type PlacerOptions } from "./placers.js";
