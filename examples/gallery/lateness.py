"""Show how late messages are detected although the clocks of the hosts are not synchronised."""

from caperstack.clock import TransitClock

#: How far the clock of the sender is ahead, in seconds.
SENDER_AHEAD = 12_345.0

clock = TransitClock()
for sent, travel in ((0.0, 0.0005), (1.0, 0.0004), (2.0, 5.0), (3.0, 0.0005)):
    late = clock.lateness(sent + SENDER_AHEAD, sent + travel)
    print(f"sent at {sent:.0f} s, {travel * 1000:6.1f} ms on the way: {late * 1000:6.1f} ms late")
