package mastdrift.membership;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import mastdrift.membership.Guards.Guard;
import mastdrift.membership.Guards.Trip;

/**
 * Applies override entries, by which an operator lets one change pass a guard. Each is valid for one current version
 * and only once: a used override is remembered and not valid again, even if the same content comes back.
 */
public final class Overrides {

    /** Bounds the used overrides that are remembered; beyond it the oldest is forgotten. */
    public static final int USED_MOST = 64;

    /** Lets a change of this pool pass this guard if this version is current; {@code location} is for messages. */
    public record Override(Guard guard, String pool, String version, String place) { }

    private record Used(Guard guard, String pool, String version) { }

    private final LinkedHashSet<Used> used = new LinkedHashSet<>();

    /** The violations that no override allows. {@code versions} are the current ones, by pool. */
    public List<Trip> left(Collection<Trip> trips, Collection<Override> overrides, Map<String, String> versions) {
        return trips.stream().filter(trip -> overrides.stream().noneMatch(override ->
                override.guard() == trip.guard() && override.pool().equals(trip.pool())
                        && override.version().equals(versions.get(trip.pool()))
                        && !used.contains(new Used(trip.guard(), trip.pool(), override.version())))).toList();
    }

    /** Marks the overrides as used that allowed these violations, after the change was applied. */
    public void use(Collection<Trip> trips, Map<String, String> versions) {
        trips.forEach(trip -> used.add(new Used(trip.guard(), trip.pool(), String.valueOf(versions.get(trip.pool())))));
        while (used.size() > USED_MOST) {
            used.remove(used.iterator().next());
        }
    }
}
