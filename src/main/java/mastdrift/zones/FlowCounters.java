package mastdrift.zones;

import java.util.LinkedHashMap;
import java.util.Map;

/** All counts by flow, since the book was begun. Bounded: flows beyond are counted together by their pair of zones, so that sums
    stay exact. */
public final class FlowCounters {

    /** Flows that are told apart. */
    public static final int MAX_FLOWS = 4_096;

    private final int maxFlows;
    private final Map<Flow, FlowCounts> flows = new LinkedHashMap<>();

    /** An empty book. */
    public FlowCounters() {
        this(MAX_FLOWS);
    }

    FlowCounters(int maxFlows) {
        this.maxFlows = maxFlows;
    }

    /** The counts of a flow, which go on counting. */
    FlowCounts counts(Flow flow) {
        FlowCounts counts = flows.get(flow);
        if (counts == null) {
            Flow key = flows.size() < maxFlows ? flow : flow.aggregated();
            counts = flows.computeIfAbsent(key, any -> new FlowCounts());
        }
        return counts;
    }

    /** Adds what was counted earlier. */
    void add(Map<Flow, FlowCounts> earlier) {
        earlier.forEach((flow, counts) -> counts(flow).add(counts));
    }

    /** A copy, which counts no further. */
    Map<Flow, FlowCounts> copy() {
        Map<Flow, FlowCounts> copy = new LinkedHashMap<>();
        flows.forEach((flow, counts) -> {
            FlowCounts own = new FlowCounts();
            own.add(counts);
            copy.put(flow, own);
        });
        return copy;
    }
}
