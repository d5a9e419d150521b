package mastdrift.net;

/** Bounds what is decoded of one connection at a time. */
interface WorkMeter {

    /** Whether more may be decoded now. */
    boolean mayDecode();

    /** Decoding has consumed so many bytes with so many fields, and completed a message or not. */
    void decoded(int bytes, int fields, boolean messageCompleted);
}
