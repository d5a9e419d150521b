package mastdrift.routing;

/** Hashes that are the same at every gateway and after every start. */
public final class Hashing {

    private Hashing() { }

    /** FNV-1a over the characters of a text, 64 bits. */
    public static long text(CharSequence text) {
        long hash = 0xCBF29CE484222325L;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001B3L;
        }
        return hash;
    }

    /** Spreads what differs in a few bits over all (the finalizer of SplitMix64, Steele et al. 2014). */
    static long mix(long value) {
        long z = (value ^ value >>> 30) * 0xBF58476D1CE4E5B9L;
        z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
        return z ^ z >>> 31;
    }
}
