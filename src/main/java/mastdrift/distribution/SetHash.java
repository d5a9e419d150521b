package mastdrift.distribution;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Hash of one resource, 128 bits of SHA-256 in two halves. That of a set of resources is their sum, each half modulo 2^64, so that a resource that comes or goes costs one
 * hash however many there are, and order doesn't count (AdHash: Bellare, Micciancio, "A new paradigm for collision-free hashing: incrementality at reduced cost", 1997).
 * Tells apart what went wrong by chance; against writers who look for collisions among chosen sets it is weaker than its length (Wagner 2002), and they may write anyway.
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

    /** Of a resource, into {@link #high} and {@link #low}. */
    void of(Resource resource) {
        byte[] name = resource.name().getBytes(StandardCharsets.UTF_8);
        fields.clear().put((byte) resource.kind().ordinal()).putInt(name.length).putLong(resource.version());
        digest.update(fields.array());
        digest.update(name);
        byte[] all = digest.digest(resource.value());
        ByteBuffer halves = ByteBuffer.wrap(all);
        high = halves.getLong();
        low = halves.getLong();
    }
}
