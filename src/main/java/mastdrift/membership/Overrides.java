package mastdrift.membership;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import mastdrift.membership.Guards.Guard;
import mastdrift.membership.Guards.Trip;

/** Lines by which an operator lets one change through a guard. Each is for one version in force and good once: when it was
    used, it is remembered and doesn't count again, also where the same content comes back. */
public final class Overrides {

    /** Used ones that are remembered; beyond that the eldest is forgotten. */
    public static final int USED_MOST = 64;

    /** Lets a change of this pool through this guard, if this version is in force; {@code place} is for messages. */
    public record Override(Guard guard, String pool, String version, String place) { }

    private record Used(Guard guard, String pool, String version) { }

    private final LinkedHashSet<Used> used = new LinkedHashSet<>();

    /** The trips that no override lets through. {@code versions} are those in force, by pool. */
    public List<Trip> left(Collection<Trip> trips, Collection<Override> overrides, Map<String, String> versions) {
        return trips.stream().filter(trip -> overrides.stream().noneMatch(override ->
                override.guard() == trip.guard() && override.pool().equals(trip.pool())
                        && override.version().equals(versions.get(trip.pool()))
                        && !used.contains(new Used(trip.guard(), trip.pool(), override.version())))).toList();
    }

    /** A change was taken: what let these trips through is used up. */
    public void use(Collection<Trip> trips, Map<String, String> versions) {
        trips.forEach(trip -> used.add(new Used(trip.guard(), trip.pool(), String.valueOf(versions.get(trip.pool())))));
        while (used.size() > USED_MOST) {
            used.remove(used.iterator().next());
        }
    }
}
