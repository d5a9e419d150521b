package mastdrift.distribution;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Hash of one resource: 128 bits of SHA-256, in two halves. The hash of a set of resources is the sum of their hashes,
 * each half modulo 2^64, so that adding or removing a resource costs one hash whatever the size of the set, and order
 * does not matter (AdHash: Bellare, Micciancio, "A new paradigm for collision-free hashing: incrementality at reduced
 * cost", 1997). It detects accidental differences; against writers who search for collisions among chosen sets it is
 * weaker than its length (Wagner 2002), but such writers are authorized to change the table anyway.
 */
final class SetHash {

    private final MessageDigest digest;
    private final ByteBuffer fields = ByteBuffer.allocate(1 + 4 + 8);
    long high;
    long low;

    SetHash() {
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("expected SHA-256 on every Java", e);
        }
    }

    /** Computes the hash of a resource into {@link #high} and {@link #low}. */
    void compute(Resource resource) {
        byte[] name = resource.name().getBytes(StandardCharsets.UTF_8);
        fields.clear().put((byte) resource.kind().ordinal()).putInt(name.length).putLong(resource.version());
        digest.update(fields.array());
        digest.update(name);
        byte[] hash = digest.digest(resource.value());
        ByteBuffer halves = ByteBuffer.wrap(hash);
        high = halves.getLong();
        low = halves.getLong();
    }
}
