package mastdrift.zones;

import java.util.List;

/**
 * Settings of traffic across zones.
 *
 * @param budgets budgets; each name occurs once
 * @param prices prices by pair of zones
 * @param networks zones of clients by address
 * @param overrideClasses classes that may exceed budgets when the own zone is out or overloaded, in this order
 * @param recoveryDelayMicros microseconds without trouble before a class is held to its budgets again
 * @param reportFile path of the report, or null
 * @param stateFolder directory in which counts and budgets are saved over a restart, or null
 * @param sharedFolder directory in which gateways exchange announcements, or null
 */
public record ZoneSettings(List<CrossingBudget> budgets, List<Price> prices, List<ClientNetworks.Network> networks,
        List<String> overrideClasses, long recoveryDelayMicros,
        String reportFile, String stateFolder, String sharedFolder) {

    /** Whether the settings that can't change while the process runs, the paths, are equal. */
    public boolean samePaths(ZoneSettings other) {
        return String.valueOf(reportFile).equals(String.valueOf(other.reportFile))
                && String.valueOf(stateFolder).equals(String.valueOf(other.stateFolder))
                && String.valueOf(sharedFolder).equals(String.valueOf(other.sharedFolder));
    }
}
