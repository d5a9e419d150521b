package mastdrift.zones;

import java.util.List;

/**
 * What the operator says of zones.
 *
 * @param budgets budgets, by their names each once
 * @param prices by pair of zones
 * @param networks zones of clients
 * @param overrideClasses classes for which service goes before budgets, the first one first
 * @param recoveryDelayMicros microseconds without trouble before a class is held again
 * @param reportFile where the report is written, or null
 * @param stateFolder where counts and budgets outlive the process, or null
 * @param sharedFolder where gateways read one another's words, or null
 */
public record ZoneSettings(List<CrossingBudget> budgets, List<Price> prices, List<ClientNetworks.Network> networks, List<String> overrideClasses, long recoveryDelayMicros,
        String reportFile, String stateFolder, String sharedFolder) {

    /** Whether what is bound at the start is the same: the files. */
    public boolean samePaths(ZoneSettings other) {
        return String.valueOf(reportFile).equals(String.valueOf(other.reportFile))
                && String.valueOf(stateFolder).equals(String.valueOf(other.stateFolder))
                && String.valueOf(sharedFolder).equals(String.valueOf(other.sharedFolder));
    }
}
