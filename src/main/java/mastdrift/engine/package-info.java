/** What every protocol shares: the ledger, in which a request has one life and one final answer, and pools, each a list of
    hosts with one decision module and one transport. Knows no protocol; runs on one event loop, without locks. */
package mastdrift.engine;
