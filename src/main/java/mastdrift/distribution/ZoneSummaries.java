package mastdrift.distribution;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import mastdrift.distribution.Message.ZoneSummary;

/** Adds up how subscribers do, by zone: {@value #ZONES_MOST} zones at most, those beyond together under {@value #OTHERS}. */
public final class ZoneSummaries {

    /** Zones that are told apart. */
    public static final int ZONES_MOST = 64;
    /** The zones beyond. */
    public static final String OTHERS = "(others)";

    private final Map<String, ZoneSummary> zones = new TreeMap<>();

    /** With nothing in it. */
    public ZoneSummaries() {
        // filled by add
    }

    /** Adds a part. Of names that lag those come first that were added first, where both are equally far behind. */
    public void add(ZoneSummary part) {
        String zone = zones.containsKey(part.zone()) || zones.size() < ZONES_MOST - 1 ? part.zone() : OTHERS;
        ZoneSummary there = zones.get(zone);
        if (there == null) {
            zones.put(zone, new ZoneSummary(zone, part.subscribers(), part.lowest(), part.refused(), bounded(part.lagging())));
            return;
        }
        boolean lower = part.lowest() != null && (there.lowest() == null || there.lowest().after(part.lowest()));
        List<String> lagging = new ArrayList<>(lower ? part.lagging() : there.lagging());
        lagging.addAll(lower ? there.lagging() : part.lagging());
        zones.put(zone, new ZoneSummary(zone, there.subscribers() + part.subscribers(), lower ? part.lowest() : there.lowest(), there.refused() + part.refused(), bounded(lagging)));
    }

    private static List<String> bounded(List<String> names) {
        return List.copyOf(names.subList(0, Math.min(names.size(), ZoneSummary.LAGGING_MOST)));
    }

    /** By zone, in the order of their names. */
    public List<ZoneSummary> zones() {
        return List.copyOf(zones.values());
    }
}
