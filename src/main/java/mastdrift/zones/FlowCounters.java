package mastdrift.zones;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Traffic counters by flow since the counters were first created, restarts included. Memory is bounded: flows beyond
 * the bound are counted together by their pair of zones, so that sums stay exact.
 */
public final class FlowCounters {

    /** Number of flows that are counted separately. */
    public static final int MAX_FLOWS = 4_096;

    private final int maxFlows;
    private final Map<Flow, FlowCounts> flows = new LinkedHashMap<>();

    /** Creates empty counters. */
    public FlowCounters() {
        this(MAX_FLOWS);
    }

    FlowCounters(int maxFlows) {
        this.maxFlows = maxFlows;
    }

    /** The live counts of a flow; created when missing. */
    FlowCounts counts(Flow flow) {
        FlowCounts counts = flows.get(flow);
        if (counts == null) {
            Flow key = flows.size() < maxFlows ? flow : flow.aggregated();
            counts = flows.computeIfAbsent(key, any -> new FlowCounts());
        }
        return counts;
    }

    /** Adds counts of an earlier process. */
    void add(Map<Flow, FlowCounts> earlier) {
        earlier.forEach((flow, counts) -> counts(flow).add(counts));
    }

    /** A copy that is independent of further counting. */
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
