package mastdrift.routing;

/** Hash functions whose results are the same on every gateway and after every restart. */
public final class Hashing {

    private Hashing() { }

    /** FNV-1a over the UTF-16 code units of a text, 64 bits. */
    public static long hashText(CharSequence text) {
        long hash = 0xCBF29CE484222325L;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001B3L;
        }
        return hash;
    }

    /** Finalizer of SplitMix64 (Steele et al. 2014): spreads a difference in a few bits over all 64 bits. */
    static long mixBits(long value) {
        long z = (value ^ value >>> 30) * 0xBF58476D1CE4E5B9L;
        z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
        return z ^ z >>> 31;
    }
}
