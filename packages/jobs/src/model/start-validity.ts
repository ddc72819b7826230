/** An agent sends a start only this soon after the leader's last grant. */
export const START_VALIDITY_MILLISECONDS = 2000;
