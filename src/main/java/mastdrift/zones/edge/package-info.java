/** The files of what crosses zones: the state that outlives a process, the report, and the words that gateways leave one another in a
    folder. Decides nothing; a thread of its own, with at most one write waiting. */
package mastdrift.zones.edge;
