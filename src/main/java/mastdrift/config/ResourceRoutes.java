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
 * The routes of a gateway as resources say them. A change that this gateway can't take (a value that means nothing, a pool that it hasn't, conversations that would lose their
 * server, more routes than a table holds) is held back whole: what its resources were before stays, and the next changes are taken all the same. What is held back is taken once a later change, or other pools
 * of the gateway, mend it.
 *
 * <p>A change of a few routes costs their parsing and {@linkplain RouteTable#changed their part} of the table; 28,000 routes are parsed at a start and after a snapshot alone. Not safe
 * for use by several threads.
 */
public final class ResourceRoutes {

    private final Map<String, RouteValue> byName = new HashMap<>();
    private final TreeSet<RouteValue> inOrder = new TreeSet<>();
    private final Map<String, Integer> pools = new TreeMap<>();  // and how often routes in force name them
    private final Map<String, String> heldBack = new TreeMap<>();  // by name of the resource, with the reason
    private RouteChecks checks;
    private final Map<String, Optional<RouteValue>> listed = new HashMap<>();  // by name of what was touched since the table was made, as it stands there
    private RouteTable table = new RouteTable(List.of());

    /** None yet, for a gateway that these speak for. */
    public ResourceRoutes(RouteChecks checks) {
        this.checks = checks;
    }

    /** Other listeners or pools from now on; {@link #all} says what comes of it. */
    public void checks(RouteChecks now) {
        checks = now;
    }

    /** In the order in which they are tried. */
    public List<Route> routes() {
        return table.routes();
    }

    /** Those in force; what an earlier call gave stays as it was. */
    public RouteTable table() {
        return table;
    }

    /** Why not all is in force as resources say, with the first reason; null where all is. */
    public String problem() {
        return heldBack.isEmpty() ? null : heldBack.values().iterator().next() + (heldBack.size() == 1 ? "" : "; " + heldBack.size() + " routes are held back");
    }

    /** Pools that routes in force name; not to be changed, and not for keeping. */
    public Set<String> pools() {
        return Collections.unmodifiableSet(pools.keySet());
    }

    /** One change; whether the routes in force are others by it. */
    public boolean change(Delta delta) {
        Map<String, Resource> upserts = new HashMap<>();
        delta.upserts().stream().filter(each -> each.kind() == ResourceKind.ROUTE).forEach(each -> upserts.put(each.name(), each));
        List<String> deletes = delta.deletes().stream().filter(each -> each.kind() == ResourceKind.ROUTE).map(Delta.Deletion::name).toList();
        return (!upserts.isEmpty() || !deletes.isEmpty()) && take(upserts, deletes);
    }

    /** All resources of a table, where it isn't known what changed one by one; whether the routes in force are others by it. What one change put in is of one version: it is
        taken or held back as one. */
    public boolean all(Iterable<Resource> resources) {
        Map<Long, Map<String, Resource>> changes = new TreeMap<>();
        Set<String> there = new TreeSet<>();
        for (Resource each : resources) {
            if (each.kind() == ResourceKind.ROUTE) {
                changes.computeIfAbsent(each.version(), version -> new HashMap<>()).put(each.name(), each);
                there.add(each.name());
            }
        }
        List<String> gone = byName.keySet().stream().filter(name -> !there.contains(name)).toList();
        heldBack.keySet().retainAll(there);
        gone.forEach(this::remove);
        Map<String, RouteValue> before = Map.copyOf(byName);
        Map<String, RouteValue> fine = new HashMap<>();
        changes.values().forEach(each -> {
            Map<String, RouteValue> values = read(each);
            if (values != null) {
                fine.putAll(values);
            }
        });
        boolean changed = put(fine, List.of());
        String wrong = wrong();
        if (wrong != null) {  // of several changes together: none of them is to blame, so all are held back
            fine.keySet().forEach(this::remove);
            put(before, List.of());
            there.forEach(name -> heldBack.put(name, wrong));
            changed = false;
        }
        if (changed || !gone.isEmpty()) {
            list();
        }
        return changed || !gone.isEmpty();
    }

    private boolean take(Map<String, Resource> upserts, List<String> deletes) {
        Map<String, RouteValue> values = read(upserts);
        if (values == null) {
            String reason = upserts.keySet().stream().map(heldBack::get).findFirst().orElseThrow();
            deletes.stream().filter(byName::containsKey).forEach(name -> heldBack.put(name, reason));
            return false;
        }
        Map<String, RouteValue> before = new HashMap<>();
        values.keySet().forEach(name -> before.put(name, byName.get(name)));
        deletes.forEach(name -> before.put(name, byName.get(name)));
        boolean changed = put(values, deletes);
        String wrong = wrong();
        if (wrong != null) {
            before.forEach((name, value) -> {
                remove(name);
                if (value != null) {
                    put(Map.of(name, value), List.of());
                }
                heldBack.put(name, wrong);
            });
            return false;
        }
        if (changed) {
            list();
        }
        return changed;
    }

    /** Values that this gateway can take; null, and all of them held back, where one of them can't be. */
    private Map<String, RouteValue> read(Map<String, Resource> upserts) {
        Map<String, RouteValue> values = new HashMap<>();
        List<String> problems = new ArrayList<>();
        upserts.forEach((name, resource) -> {
            List<String> own = new ArrayList<>();
            RouteValue value = RouteValue.read(name, resource.value(), own);
            if (value != null) {
                checks.known(value.route(), problems::add);
                values.put(name, value);
            } else {
                problems.add("route " + name + ": " + ResourceValues.text(own));
            }
        });
        if (!problems.isEmpty()) {
            String reason = ResourceValues.text(problems);
            upserts.keySet().forEach(name -> heldBack.put(name, reason));
        }
        return problems.isEmpty() ? values : null;
    }

    private String wrong() {
        if (inOrder.size() > RouteTable.MAX_ROUTES) {
            return "expected at most " + RouteTable.MAX_ROUTES + " routes, found " + inOrder.size();
        }
        if (!checks.crossRoutes()) {
            return null;
        }
        List<String> problems = new ArrayList<>();
        checks.alike(inOrder.stream().map(RouteValue::route).toList(), problems::add);
        return problems.isEmpty() ? null : ResourceValues.text(problems);
    }

    private boolean put(Map<String, RouteValue> values, List<String> deletes) {
        boolean changed = false;
        for (Map.Entry<String, RouteValue> each : values.entrySet()) {
            RouteValue had = byName.get(each.getKey());
            if (!each.getValue().equals(had)) {
                remove(each.getKey());
                touch(each.getKey(), had);
                byName.put(each.getKey(), each.getValue());
                each.getValue().pools().forEach(pool -> pools.merge(pool, 1, Integer::sum));
                inOrder.add(each.getValue());
                changed = true;
            }
            heldBack.remove(each.getKey());
        }
        for (String name : deletes) {
            changed |= remove(name);
            heldBack.remove(name);
        }
        return changed;
    }

    private boolean remove(String name) {
        RouteValue had = byName.remove(name);
        if (had != null) {
            touch(name, had);
            had.pools().forEach(pool -> pools.computeIfPresent(pool, (key, routes) -> routes == 1 ? null : routes - 1));
        }
        return had != null && inOrder.remove(had);
    }

    private void touch(String name, RouteValue had) {
        listed.putIfAbsent(name, Optional.ofNullable(had));
    }

    private void list() {
        List<RouteValue> gone = new ArrayList<>();
        List<RouteValue> come = new ArrayList<>();
        listed.forEach((name, had) -> {
            Optional<RouteValue> now = Optional.ofNullable(byName.get(name));
            if (!now.equals(had)) {
                had.ifPresent(gone::add);
                now.ifPresent(come::add);
            }
        });
        listed.clear();
        table = table.withChanges(gone, come);
    }
}
