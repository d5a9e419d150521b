/** What crosses from one zone to another: counted, kept within budgets, and let go where service would suffer. Pure: told what is sent
    and how it ended, the hosts and the time, asked whether a host of another zone may be used; no I/O, no thread and no clock of its
    own. The module chooses the server; this says what a crossing may weigh. */
package mastdrift.zones;
