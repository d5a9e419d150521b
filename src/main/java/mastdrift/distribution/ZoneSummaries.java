package mastdrift.distribution;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import mastdrift.distribution.Message.ZoneSummary;

/**
 * Aggregates the status of subscribers by zone: at most {@value #MAX_ZONES} zones, all others together under {@value
 * #OTHER_ZONES}.
 */
public final class ZoneSummaries {

    /** Maximum number of zones, including {@link #OTHER_ZONES}. */
    public static final int MAX_ZONES = 64;
    /** Name under which the remaining zones are aggregated. */
    public static final String OTHER_ZONES = "(others)";

    private final Map<String, ZoneSummary> zones = new TreeMap<>();

    /** Creates an empty aggregate. */
    public ZoneSummaries() {
        // filled by add
    }

    /**
     * Adds a summary. Lagging names of the summary with the lower revision come first; at equal revisions those that
     * were added first.
     */
    public void add(ZoneSummary summary) {
        String zone = zones.containsKey(summary.zone()) || zones.size() < MAX_ZONES - 1 ? summary.zone() : OTHER_ZONES;
        ZoneSummary existing = zones.get(zone);
        if (existing == null) {
            zones.put(zone, new ZoneSummary(zone, summary.subscribers(), summary.lowest(), summary.rejecting(), firstLagging(summary.lagging())));
            return;
        }
        boolean isLower = summary.lowest() != null && (existing.lowest() == null || existing.lowest().isAfter(summary.lowest()));
        List<String> lagging = new ArrayList<>(isLower ? summary.lagging() : existing.lagging());
        lagging.addAll(isLower ? existing.lagging() : summary.lagging());
        zones.put(zone, new ZoneSummary(zone, existing.subscribers() + summary.subscribers(), isLower ? summary.lowest() : existing.lowest(), existing.rejecting() + summary.rejecting(), firstLagging(lagging)));
    }

    private static List<String> firstLagging(List<String> names) {
        return List.copyOf(names.subList(0, Math.min(names.size(), ZoneSummary.MAX_LAGGING_NAMES)));
    }

    /** The aggregated summaries, ordered by zone name. */
    public List<ZoneSummary> zones() {
        return List.copyOf(zones.values());
    }
}
