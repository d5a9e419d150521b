package mastdrift.radius;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;

/**
 * Detects retransmitted requests and caches the responses to them (RFC 5080, 2.2.2). A request is identified by its
 * source, code, identifier and Request Authenticator. An Accounting-Request is also identified by the event that it
 * reports, since a client that increments Acct-Delay-Time sends a new packet for the same event.
 *
 * <p>The common case, a new request, costs two hash map look-ups. Entries are kept in order of creation, so the oldest
 * expire first. A client address that has reached its quota loses its own oldest entries, so a flood of new identifiers
 * from one address does not evict the entries of others.
 */
public final class DuplicateCache {

    /** Source address and port of a request. Port 0 stands for all ports of an address. */
    public record Source(byte[] address, int port) {

        @Override
        public boolean equals(Object other) {
            return other instanceof Source source && port == source.port && Arrays.equals(address, source.address);
        }

        @Override
        public int hashCode() {
            return 31 * Arrays.hashCode(address) + port;
        }
    }

    private record RequestIdentity(Source source, Code code, int identifier, byte[] authenticator) {

        @Override
        public boolean equals(Object other) {
            return other instanceof RequestIdentity identity && identifier == identity.identifier
                    && code == identity.code
                    && source.equals(identity.source) && Arrays.equals(authenticator, identity.authenticator);
        }

        @Override
        public int hashCode() {
            return 31 * (31 * source.hashCode() + identifier) + Arrays.hashCode(authenticator);
        }
    }

    /** A packet that awaits the response to a request: the forwarded one, or a duplicate of it. */
    public record WaitingPacket(Source source, Packet request) { }

    /** A request that is in progress or has been answered, with its duplicates. */
    public static final class Entry {
        private final long expiresAtMicros;
        private final AccountingEvent event;
        private final ClientEntries clientEntries;
        private final List<RequestIdentity> identities = new ArrayList<>(1);
        private final Map<RequestIdentity, byte[]> responses = new HashMap<>(2);
        private final List<WaitingPacket> waiting = new ArrayList<>(1);
        private boolean completed;
        private int responseBytes;

        private Entry(long expiresAtMicros, AccountingEvent event, ClientEntries clientEntries) {
            this.expiresAtMicros = expiresAtMicros;
            this.event = event;
            this.clientEntries = clientEntries;
        }

        /** The packets that await the response, each to be answered once. The first is the one that was forwarded. */
        public List<WaitingPacket> waiting() {
            return List.copyOf(waiting);
        }
    }

    /** The entries of one client address, oldest first. */
    private static final class ClientEntries {
        private final Source address;
        private final LinkedHashSet<Entry> entries = new LinkedHashSet<>();

        ClientEntries(Source address) {
            this.address = address;
        }
    }

    /** How to handle a received packet. */
    public enum Disposition {
        /** A new request: forward it and report its result for the returned entry. */
        FORWARD,
        /** A duplicate of a request in progress: nothing to do; it is answered together with that request. */
        JOINED,
        /** A duplicate of an answered request: send the cached response. */
        CACHED,
        /**
         * Another packet for the same accounting event was answered: answer this one likewise, without asking a server,
         * and report the response by {@link #recordResponse}.
         */
        SAME_EVENT_ANSWERED
    }

    /** How to handle a packet, and its entry. The response is null unless a cached one is to be sent. */
    public record LookupResult(Disposition disposition, Entry entry, byte[] response) { }

    private static final int MAX_WAITING_PER_ENTRY = 16;

    private final long retentionMicros;
    private final int maxEntries;
    private final int maxEntriesPerClient;
    private final int maxResponseBytes;
    private final Map<RequestIdentity, Entry> byIdentity = new HashMap<>();
    private final Map<AccountingEvent, Entry> byEvent = new HashMap<>();
    private final Map<Source, ClientEntries> clients = new HashMap<>();
    private final LinkedHashSet<Entry> entries = new LinkedHashSet<>();
    private int responseBytes;

    /**
     * Keeps each entry for {@code retentionMicros} microseconds from its creation; holds up to {@code maxEntries}
     * entries, a quarter of them for any one client address, and up to {@code maxResponseBytes} bytes of responses.
     */
    public DuplicateCache(long retentionMicros, int maxEntries, int maxResponseBytes) {
        this.retentionMicros = retentionMicros;
        this.maxEntries = maxEntries;
        this.maxResponseBytes = maxResponseBytes;
        maxEntriesPerClient = Math.max(1, maxEntries / 4);
    }

    /** Classifies a received packet whose authenticators have been verified. */
    public LookupResult lookUp(long nowMicros, Source source, Packet request) {
        removeExpired(nowMicros);
        RequestIdentity identity = new RequestIdentity(source, request.code(), request.identifier(),
                request.authenticator());
        Entry samePacket = byIdentity.get(identity);
        if (samePacket != null) {
            byte[] response = samePacket.responses.get(identity);
            return response != null ? new LookupResult(Disposition.CACHED, samePacket, response)
                    : new LookupResult(Disposition.JOINED, samePacket, null);
        }
        AccountingEvent event = request.code() == Code.ACCOUNTING_REQUEST ? AccountingEvent.of(source.address, request)
                : null;
        Entry sameEvent = event == null ? null : byEvent.get(event);
        if (sameEvent != null) {
            addWaiting(sameEvent, identity, source, request);
            return new LookupResult(sameEvent.completed ? Disposition.SAME_EVENT_ANSWERED : Disposition.JOINED,
                    sameEvent, null);
        }
        Entry entry = createEntry(nowMicros, source, event);
        addWaiting(entry, identity, source, request);
        return new LookupResult(Disposition.FORWARD, entry, null);
    }

    private Entry createEntry(long nowMicros, Source source, AccountingEvent event) {
        Source address = new Source(source.address, 0);
        ClientEntries existing = clients.get(address);
        if (existing != null && existing.entries.size() >= maxEntriesPerClient) {
            remove(existing.entries.iterator().next());
        }
        if (entries.size() >= maxEntries) {
            remove(entries.iterator().next());
        }
        ClientEntries clientEntries = clients.computeIfAbsent(address, ClientEntries::new);
        Entry entry = new Entry(nowMicros + retentionMicros, event, clientEntries);
        entries.add(entry);
        clientEntries.entries.add(entry);
        if (event != null) {
            byEvent.put(event, entry);
        }
        return entry;
    }

    /**
     * Adds a packet to an entry. Beyond {@link #MAX_WAITING_PER_ENTRY} packets a further one is not recorded: a
     * retransmission of it is handled as a duplicate again.
     */
    private void addWaiting(Entry entry, RequestIdentity identity, Source source, Packet request) {
        if (entry.waiting.size() < MAX_WAITING_PER_ENTRY) {
            entry.identities.add(identity);
            entry.waiting.add(new WaitingPacket(source, request));
            byIdentity.put(identity, entry);
        }
    }

    /** Records the response sent to a waiting packet, to be sent again when that packet is retransmitted. */
    public void recordResponse(Entry entry, WaitingPacket packet, byte[] response) {
        entry.completed = true;
        if (!entries.contains(entry)) {
            return;  // evicted while the request was in progress
        }
        RequestIdentity identity = new RequestIdentity(packet.source, packet.request.code(),
                packet.request.identifier(), packet.request.authenticator());
        if (entry.responses.putIfAbsent(identity, response) == null) {
            entry.responseBytes += response.length;
            responseBytes += response.length;
        }
        while (responseBytes > maxResponseBytes) {
            remove(entries.iterator().next());
        }
    }

    /** Records that a request ended without a response; a retransmission is treated as a new request. */
    public void recordNoResponse(Entry entry) {
        entry.completed = true;
        if (entries.contains(entry)) {
            remove(entry);
        }
    }

    private void removeExpired(long nowMicros) {
        for (Iterator<Entry> oldestFirst = entries.iterator(); oldestFirst.hasNext();
                oldestFirst = entries.iterator()) {
            Entry entry = oldestFirst.next();
            if (entry.expiresAtMicros > nowMicros) {
                return;
            }
            remove(entry);
        }
    }

    private void remove(Entry entry) {
        entries.remove(entry);
        entry.clientEntries.entries.remove(entry);
        if (entry.clientEntries.entries.isEmpty()) {
            clients.remove(entry.clientEntries.address);
        }
        entry.identities.forEach(identity -> byIdentity.remove(identity, entry));
        if (entry.event != null) {
            byEvent.remove(entry.event, entry);
        }
        responseBytes -= entry.responseBytes;
    }

    /** Number of entries held. */
    public int size() {
        return entries.size();
    }

    /** Total size of the cached responses in bytes. */
    public int responseBytes() {
        return responseBytes;
    }
}
