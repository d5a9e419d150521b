/** What a gateway counts a second, as a line of its log, and what the lines of many gateways add up to. No I/O, no clock of its own. */
package mastdrift.tally;
