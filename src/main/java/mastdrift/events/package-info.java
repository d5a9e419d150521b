/**
 * Events with stable names that a gateway reports to its operators; the code that composes a gateway decides where they
 * go.
 */
package mastdrift.events;
