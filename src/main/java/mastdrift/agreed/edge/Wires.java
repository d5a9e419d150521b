package mastdrift.agreed.edge;

import java.util.function.BiConsumer;

/** The links to other gateways, as the log needs them. */
public interface Wires {

    /** Sends a message to a gateway by its name; it may be lost. From any thread. */
    void send(String gateway, byte[] message);

    /** Whoever hears messages from now on, with the sender's name; called on a thread that must not wait. */
    void ears(BiConsumer<String, byte[]> heard);
}
