package mastdrift.distribution;

import java.util.List;

/**
 * The effect of one agreed change on the table: from one revision number to the next.
 * @param from number of the revision that it applies to
 * @param to revision that results
 * @param upserts resources with their new values, with {@code to.number()} as their version
 * @param deletes resources that are removed
 */
public record Delta(long from, Revision to, List<Resource> upserts, List<Deletion> deletes) {

    /** A resource that is removed. */
    public record Deletion(ResourceKind kind, String name) { }

    /** Takes immutable copies of the lists. */
    public Delta {
        upserts = List.copyOf(upserts);
        deletes = List.copyOf(deletes);
    }
}
