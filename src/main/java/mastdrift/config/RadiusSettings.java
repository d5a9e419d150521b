package mastdrift.config;

import java.util.List;
import mastdrift.settings.AddressRange;

/**
 * A RADIUS listener; bound at the start.
 *
 * @param name what operators call it
 * @param listen address and port in digits, UDP
 * @param accessClass the class of an Access-Request, safe to repeat
 * @param conversationClass the class of one with State or EAP-Message, which one server holds
 * @param accountingClass the class of accounting
 * @param clients who may send, by address range
 * @param kept microseconds for which an answer is kept for resends
 * @param keptMost answers that are kept at once, a quarter of them for one address
 */
public record RadiusSettings(String name, String listen, String accessClass, String conversationClass,
        String accountingClass, List<Client> clients, long kept, int keptMost) {

    /**
     * Chargers behind one address range.
     *
     * @param name for counts and log
     * @param range their addresses
     * @param secret where their secret is
     * @param tenant their tenant, or null
     * @param signed whether Access-Requests must have a Message-Authenticator
     */
    public record Client(String name, AddressRange range, SecretRef secret, String tenant, boolean signed) { }
}
