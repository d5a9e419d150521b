package mastdrift.membership;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import mastdrift.membership.ChangeGuards.Guard;
import mastdrift.membership.ChangeGuards.Violation;

/**
 * Applies override entries, by which an operator lets one change pass a guard. Each is valid for one current version
 * and only once: a used override is remembered and not valid again, even if the same content comes back.
 */
public final class Overrides {

    /** Bounds the used overrides that are remembered; beyond it the oldest is forgotten. */
    public static final int MAX_USED_OVERRIDES = 64;

    /** Lets a change of this pool pass this guard if this version is current; {@code location} is for messages. */
    public record Override(Guard guard, String pool, String version, String location) { }

    private record UsedOverride(Guard guard, String pool, String version) { }

    private final LinkedHashSet<UsedOverride> used = new LinkedHashSet<>();

    /** The violations that no override allows. {@code versions} are the current ones, by pool. */
    public List<Violation> remainingViolations(Collection<Violation> violations, Collection<Override> overrides,
            Map<String, String> versions) {
        return violations.stream().filter(violation -> overrides.stream().noneMatch(override ->
                override.guard() == violation.guard() && override.pool().equals(violation.pool())
                        && override.version().equals(versions.get(violation.pool()))
                        && !used.contains(new UsedOverride(violation.guard(), violation.pool(), override.version()))))
                                .toList();
    }

    /** Marks the overrides as used that allowed these violations, after the change was applied. */
    public void markUsed(Collection<Violation> violations, Map<String, String> versions) {
        violations.forEach(violation -> used.add(new UsedOverride(violation.guard(), violation.pool(),
                String.valueOf(versions.get(violation.pool())))));
        while (used.size() > MAX_USED_OVERRIDES) {
            used.remove(used.iterator().next());
        }
    }
}
