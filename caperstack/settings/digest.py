"""A digest of revisions that a change brings up to date at the cost of the change."""

import xxhash

__all__ = ["BUCKETS", "RevisionDigest", "bucket_of"]

#: Groups of subtrees whose revisions are compared apart.  With 32 of them two
#: nodes that differ in one of 195 subtrees exchange 170 bytes of bucket values and six
#: revisions, 200 bytes, in place of all 195 revisions, 6 kB; at 1,100 subtrees
#: the group is 34.
BUCKETS = 32

#: Bucket values have 32 bits, five bytes on the wire each.  Two that are equal by
#: chance leave the whole values unequal, which is told apart by those.
BUCKET_MASK = 0xFFFFFFFF

#: The whole value has 63 bits: it travels as a signed integer.
WHOLE_MASK = 0x7FFFFFFFFFFFFFFF


class RevisionDigest:
    """The exclusive or of a hash of each path and its revision, by bucket.

    Notes
    -----
    Failure: a digest over the sorted list of all revisions is worked out anew
    at each change.  When a fleet of hundreds is replaced one host after the
    other, each node hashes the whole list for each host, the square of the
    fleet in all.  An exclusive or has no order: the former revision is taken
    out and the present one put in.
    """

    def __init__(self):
        self._whole = 0
        self._buckets = [0] * BUCKETS

    @property
    def value(self):
        """A number that is equal where all revisions are equal."""
        return self._whole & WHOLE_MASK

    @property
    def buckets(self):
        """The numbers of the buckets, in order."""
        return [value & BUCKET_MASK for value in self._buckets]

    def change(self, path, old, new):
        """Note that `path` went from revision `old` to `new`; negative ones are none."""
        bucket = bucket_of(path)
        for revision in (old, new):
            if revision >= 0:
                number = xxhash.xxh3_64_intdigest(f"{revision} {path}".encode())
                self._whole ^= number
                self._buckets[bucket] ^= number


def bucket_of(path):
    """Return the place of the bucket that `path` belongs to."""
    return xxhash.xxh3_64_intdigest(path.encode()) % BUCKETS
