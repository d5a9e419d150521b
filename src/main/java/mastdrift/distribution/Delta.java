package mastdrift.distribution;

import java.util.List;

/**
 * What one agreed change did to the table: from a revision number to the next one.
 *
 * @param from number of the revision that it applies to
 * @param to the revision that it makes
 * @param upserts resources as they are now, with {@code to.number()} as their version
 * @param deletes resources that are gone
 */
public record Delta(long from, Revision to, List<Resource> upserts, List<Deletion> deletes) {

    /** A resource that is there no more. */
    public record Deletion(ResourceKind kind, String name) { }

    /** Keeps its own lists. */
    public Delta {
        upserts = List.copyOf(upserts);
        deletes = List.copyOf(deletes);
    }
}
