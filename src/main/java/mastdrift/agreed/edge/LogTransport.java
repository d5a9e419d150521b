package mastdrift.agreed.edge;

import java.util.function.BiConsumer;

/** Carries messages to and from other gateways. */
public interface LogTransport {

    /** Sends a message to a gateway by its name; it may be lost. From any thread. */
    void send(String gateway, byte[] message);

    /** Who receives messages from now on, with the sender's name; called on a thread that must not wait. */
    void onMessage(BiConsumer<String, byte[]> receiver);
}
