package mastdrift.zones;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Transfers budget between gateways without consensus: a gateway with a surplus subtracts an amount from its own
 * account and then announces the transfer; the receiver adds it once. Announcements hold running totals, so that one
 * that is lost, late or read twice does no harm, and the grants of all gateways together never exceed the budget's
 * amount (escrow: O'Neil, The Escrow Transactional Method, 1986; Balegas et al., Extending Eventually Consistent Cloud
 * Databases for Enforcing Numeric Invariants, 2015).
 */
public final class Escrow {

    /** Number of peers whose announcements are kept. */
    public static final int MAX_PEERS = 256;
    /** Age after which the shortfall in an announcement is ignored; its transfers count as long as their window. */
    static final long SHORTFALL_TTL_MILLIS = 10_000;
    // Fraction of its own grant that a gateway keeps beyond its expected need.
    private static final double KEPT_GRANT_FRACTION = 0.1;
    // Largest fraction of the surplus that is transferred in one round, since the next announcements may change the
    // picture.
    private static final double MAX_TRANSFER_FRACTION = 0.5;
    // Initial fraction of a window without transfers, since usage can't be extrapolated yet.
    private static final double MIN_ELAPSED_WINDOW_FRACTION = 0.05;

    /**
     * One gateway's announcement of one budget: the start of its window, what it expects to lack (negative for a
     * surplus), and the totals it transferred to each peer in that window.
     */
    public record BudgetAnnouncement(long windowStartMillis, double expectedShortfall,
            Map<String, Double> transferredOut) { }

    /**
     * One gateway's announcement of all its budgets, by budget name; {@code sentAtMillis} in milliseconds since 1970.
     */
    public record Announcement(String gateway, long sentAtMillis, Map<String, BudgetAnnouncement> budgets) { }

    private final String ownName;
    private final Map<String, Announcement> announcements = new LinkedHashMap<>();

    /** {@code ownName} is this gateway's name, which must be unique among the peers. */
    Escrow(String ownName) {
        this.ownName = ownName;
    }

    /**
     * Stores a peer's announcement unless it is this gateway's own, older than the stored one, or from a new peer
     * beyond the bound. Returns whether it was stored.
     */
    boolean receive(Announcement announcement) {
        Announcement known = announcements.get(announcement.gateway);
        if (announcement.gateway.equals(ownName) || known == null && announcements.size() >= MAX_PEERS
                || known != null && known.sentAtMillis > announcement.sentAtMillis) {
            return false;
        }
        announcements.put(announcement.gateway, announcement);
        return true;
    }

    /**
     * Adds what peers transferred to this gateway, and transfers part of its own surplus to peers that expect a
     * shortfall.
     */
    void rebalance(long wallMillis, Collection<CrossingAccount> accounts) {
        for (CrossingAccount account : accounts) {
            String name = account.budget().name();
            double totalShortfall = 0;
            for (Announcement announcement : announcements.values()) {
                BudgetAnnouncement budget = announcement.budgets.get(name);
                if (budget != null) {
                    account.receiveTransfer(announcement.gateway, budget.windowStartMillis,
                            budget.transferredOut.getOrDefault(ownName, 0.0));
                    totalShortfall += shortfall(wallMillis, announcement, account);
                }
            }
            long windowMillis = account.windowEndMillis() - account.windowStartMillis();
            double surplus = -account.expectedShortfall() - KEPT_GRANT_FRACTION * account.granted();
            if (totalShortfall <= 0 || surplus <= 0
                    || wallMillis - account.windowStartMillis() < MIN_ELAPSED_WINDOW_FRACTION * windowMillis) {
                continue;
            }
            double transferred = Math.min(totalShortfall,
                    MAX_TRANSFER_FRACTION * Math.min(surplus, account.remaining()));
            for (Announcement announcement : announcements.values()) {
                double amount = transferred * shortfall(wallMillis, announcement, account) / totalShortfall;
                if (amount > 0) {
                    account.transferOut(announcement.gateway, amount);
                }
            }
        }
    }

    private static double shortfall(long wallMillis, Announcement announcement, CrossingAccount account) {
        BudgetAnnouncement budget = announcement.budgets.get(account.budget().name());
        boolean valid = budget != null && budget.windowStartMillis == account.windowStartMillis()
                && Math.abs(wallMillis - announcement.sentAtMillis) <= SHORTFALL_TTL_MILLIS;
        return valid ? Math.max(0, budget.expectedShortfall) : 0;
    }

    /** This gateway's own announcement. */
    Announcement announcement(long wallMillis, Collection<CrossingAccount> accounts) {
        Map<String, BudgetAnnouncement> budgets = new TreeMap<>();
        accounts.forEach(account -> budgets.put(account.budget().name(),
                new BudgetAnnouncement(account.windowStartMillis(), account.expectedShortfall(),
                        Map.copyOf(account.transferredOut()))));
        return new Announcement(ownName, wallMillis, budgets);
    }
}
