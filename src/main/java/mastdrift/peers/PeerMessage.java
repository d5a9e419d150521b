package mastdrift.peers;

import java.util.List;

/**
 * A message of the membership protocol between gateways. Each one carries some piggybacked updates, so that these need
 * no messages of their own (SWIM, section 4.1).
 */
public sealed interface PeerMessage {

    /** Maximum number of updates in a message other than {@link Sync}. */
    int MAX_UPDATES = 16;

    /** The piggybacked updates. */
    List<Update> updates();

    /** Probes a member; answered by {@link Ack} with the same sequence number. */
    record Ping(long sequence, List<Update> updates) implements PeerMessage { }

    /** Answers a {@link Ping}; or tells the sender of a {@link PingRequest} that the target acknowledged. */
    record Ack(long sequence, List<Update> updates) implements PeerMessage { }

    /**
     * Tells the sender of a {@link PingRequest} that the target has not acknowledged yet, but that the relaying member
     * itself is alive (Lifeguard, section IV.A).
     */
    record Nack(long sequence, List<Update> updates) implements PeerMessage { }

    /** Asks the receiver to ping the target and to relay its ack (SWIM's ping-req). */
    record PingRequest(long sequence, String target, List<Update> updates) implements PeerMessage { }

    /** All that the sender believes (anti-entropy); {@code replyRequested} asks for the receiver's list in return. */
    record Sync(boolean replyRequested, List<Update> updates) implements PeerMessage { }
}
