package mastdrift.agreed.edge;

import java.util.function.BiConsumer;

/** Carries messages between gateways. */
public interface LogTransport {

    /** Sends a message to a gateway by its name; the message may be lost. Callable from any thread. */
    void send(String gateway, byte[] message);

    /** Sets the receiver of messages, which is called with the sender's name on a thread that must not block. */
    void onMessage(BiConsumer<String, byte[]> receiver);
}
