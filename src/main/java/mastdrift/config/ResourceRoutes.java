package mastdrift.config;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import mastdrift.distribution.Delta;
import mastdrift.distribution.Resource;
import mastdrift.distribution.ResourceKind;
import mastdrift.routing.Route;
import mastdrift.routing.RouteTable;

/**
 * The routes of a gateway as defined by distributed resources. A change that this gateway can't apply (an invalid
 * value, an unknown pool, conversations that would lose their server, more routes than a table holds) is held back as a
 * whole: the previous resources stay in force, and later changes are still applied. A change that was held back is
 * applied once a later change, or new pools of the gateway, make it valid.
 *
 * <p>A change of a few routes costs the parsing of these and {@linkplain RouteTable#changed their part} of the table;
 * all routes, 28,000 say, are parsed only at start and after a snapshot. Not thread-safe.
 */
public final class ResourceRoutes {

    private final Map<String, RouteValue> byName = new HashMap<>();
    private final TreeSet<RouteValue> sortedRoutes = new TreeSet<>();
    // the number of references by routes in force, by pool
    private final Map<String, Integer> poolReferenceCounts = new TreeMap<>();
    private final Map<String, String> heldBackReasons = new TreeMap<>();  // by resource name
    private RouteChecks checks;
    // by name of each resource changed since the table was built: its value in the table
    private final Map<String, Optional<RouteValue>> valuesInTable = new HashMap<>();
    private RouteTable table = new RouteTable(List.of());

    /** Starts without routes, for a gateway with these checks. */
    public ResourceRoutes(RouteChecks checks) {
        this.checks = checks;
    }

    /** Replaces the checks after a change of listeners or pools; takes effect with the next {@link #applySnapshot}. */
    public void setChecks(RouteChecks newChecks) {
        checks = newChecks;
    }

    /** The routes in the order in which they are tried. */
    public List<Route> routes() {
        return table.routes();
    }

    /** The routes in force; a table that an earlier call returned does not change. */
    public RouteTable table() {
        return table;
    }

    /** Why some resources are not in force, with the first reason; null if all are in force. */
    public String problem() {
        return heldBackReasons.isEmpty() ? null : heldBackReasons.values().iterator().next() + (heldBackReasons.size() == 1 ? "" : "; " + heldBackReasons.size() + " routes are held back");
    }

    /** A live, read-only view of the pools that routes in force refer to; not to be retained. */
    public Set<String> referencedPools() {
        return Collections.unmodifiableSet(poolReferenceCounts.keySet());
    }

    /** Applies one change and returns whether it altered the routes in force. */
    public boolean applyDelta(Delta delta) {
        Map<String, Resource> upserts = new HashMap<>();
        delta.upserts().stream().filter(each -> each.kind() == ResourceKind.ROUTE).forEach(each -> upserts.put(each.name(), each));
        List<String> deletes = delta.deletes().stream().filter(each -> each.kind() == ResourceKind.ROUTE).map(Delta.Deletion::name).toList();
        return (!upserts.isEmpty() || !deletes.isEmpty()) && applyChange(upserts, deletes);
    }

    /**
     * Applies all resources of a table, where the individual changes are unknown, and returns whether the routes in
     * force changed. Resources of one version were written by the same change: they are applied or held back together.
     */
    public boolean applySnapshot(Iterable<Resource> resources) {
        Map<Long, Map<String, Resource>> changes = new TreeMap<>();
        Set<String> presentNames = new TreeSet<>();
        for (Resource each : resources) {
            if (each.kind() == ResourceKind.ROUTE) {
                changes.computeIfAbsent(each.version(), version -> new HashMap<>()).put(each.name(), each);
                presentNames.add(each.name());
            }
        }
        List<String> removedNames = byName.keySet().stream().filter(name -> !presentNames.contains(name)).toList();
        heldBackReasons.keySet().retainAll(presentNames);
        removedNames.forEach(this::remove);
        Map<String, RouteValue> previousValues = Map.copyOf(byName);
        Map<String, RouteValue> validValues = new HashMap<>();
        changes.values().forEach(each -> {
            Map<String, RouteValue> values = readValues(each);
            if (values != null) {
                validValues.putAll(values);
            }
        });
        boolean changed = putAndRemove(validValues, List.of());
        String problem = findTableProblem();
        if (problem != null) {  // several changes combined: none can be singled out, so all are held back
            validValues.keySet().forEach(this::remove);
            putAndRemove(previousValues, List.of());
            presentNames.forEach(name -> heldBackReasons.put(name, problem));
            changed = false;
        }
        if (changed || !removedNames.isEmpty()) {
            updateTable();
        }
        return changed || !removedNames.isEmpty();
    }

    private boolean applyChange(Map<String, Resource> upserts, List<String> deletes) {
        Map<String, RouteValue> values = readValues(upserts);
        if (values == null) {
            String reason = upserts.keySet().stream().map(heldBackReasons::get).findFirst().orElseThrow();
            deletes.stream().filter(byName::containsKey).forEach(name -> heldBackReasons.put(name, reason));
            return false;
        }
        Map<String, RouteValue> previousValues = new HashMap<>();
        values.keySet().forEach(name -> previousValues.put(name, byName.get(name)));
        deletes.forEach(name -> previousValues.put(name, byName.get(name)));
        boolean changed = putAndRemove(values, deletes);
        String problem = findTableProblem();
        if (problem != null) {
            previousValues.forEach((name, value) -> {
                remove(name);
                if (value != null) {
                    putAndRemove(Map.of(name, value), List.of());
                }
                heldBackReasons.put(name, problem);
            });
            return false;
        }
        if (changed) {
            updateTable();
        }
        return changed;
    }

    /** Parses the values; if one of them can't be applied, holds all of them back and returns null. */
    private Map<String, RouteValue> readValues(Map<String, Resource> upserts) {
        Map<String, RouteValue> values = new HashMap<>();
        List<String> problems = new ArrayList<>();
        upserts.forEach((name, resource) -> {
            List<String> valueProblems = new ArrayList<>();
            RouteValue value = RouteValue.read(name, resource.value(), valueProblems);
            if (value != null) {
                checks.checkPools(value.route(), problems::add);
                values.put(name, value);
            } else {
                problems.add("route " + name + ": " + ResourceValues.joinProblems(valueProblems));
            }
        });
        if (!problems.isEmpty()) {
            String reason = ResourceValues.joinProblems(problems);
            upserts.keySet().forEach(name -> heldBackReasons.put(name, reason));
        }
        return problems.isEmpty() ? values : null;
    }

    private String findTableProblem() {
        if (sortedRoutes.size() > RouteTable.MAX_ROUTES) {
            return "expected at most " + RouteTable.MAX_ROUTES + " routes, found " + sortedRoutes.size();
        }
        if (!checks.checksAcrossRoutes()) {
            return null;
        }
        List<String> problems = new ArrayList<>();
        checks.checkConversationRouting(sortedRoutes.stream().map(RouteValue::route).toList(), problems::add);
        return problems.isEmpty() ? null : ResourceValues.joinProblems(problems);
    }

    private boolean putAndRemove(Map<String, RouteValue> values, List<String> deletes) {
        boolean changed = false;
        for (Map.Entry<String, RouteValue> each : values.entrySet()) {
            RouteValue previous = byName.get(each.getKey());
            if (!each.getValue().equals(previous)) {
                remove(each.getKey());
                recordValueInTable(each.getKey(), previous);
                byName.put(each.getKey(), each.getValue());
                each.getValue().pools().forEach(pool -> poolReferenceCounts.merge(pool, 1, Integer::sum));
                sortedRoutes.add(each.getValue());
                changed = true;
            }
            heldBackReasons.remove(each.getKey());
        }
        for (String name : deletes) {
            changed |= remove(name);
            heldBackReasons.remove(name);
        }
        return changed;
    }

    private boolean remove(String name) {
        RouteValue previous = byName.remove(name);
        if (previous != null) {
            recordValueInTable(name, previous);
            previous.pools()
                    .forEach(pool -> poolReferenceCounts.computeIfPresent(pool, (key, references) -> references == 1
                    ? null : references - 1));
        }
        return previous != null && sortedRoutes.remove(previous);
    }

    private void recordValueInTable(String name, RouteValue previous) {
        valuesInTable.putIfAbsent(name, Optional.ofNullable(previous));
    }

    private void updateTable() {
        List<RouteValue> removed = new ArrayList<>();
        List<RouteValue> added = new ArrayList<>();
        valuesInTable.forEach((name, previous) -> {
            Optional<RouteValue> current = Optional.ofNullable(byName.get(name));
            if (!current.equals(previous)) {
                previous.ifPresent(removed::add);
                current.ifPresent(added::add);
            }
        });
        valuesInTable.clear();
        table = table.withChanges(removed, added);
    }
}
