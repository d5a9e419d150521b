package mastdrift.lab.model;

import java.util.List;

/**
 * What came of a run of {@link PeerWorld}.
 *
 * @param falseDeaths gateways that were up all the time and that somebody called gone, each time
 * @param wronged of those, times at which the gateway had no fault of its own and none with the one who gave it up
 * @param deaths for each killed gateway and each other that was up and well meanwhile, microseconds until that one knew; -1 for never before it was back
 * @param apart what views still differ from the truth at the end, a line each
 * @param messages sent in all
 * @param updates in them
 * @param events of the run, if they were wanted: a line each
 */
public record PeerRun(int falseDeaths, int wronged, List<Long> deaths, List<String> apart, long messages, long updates, List<String> events) { }
