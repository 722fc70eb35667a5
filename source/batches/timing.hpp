#pragma once

#include "core/instant.hpp"

namespace amaranthhatch::batches
{

/// An owner holds its lease for this time after it sent the last beacon that a
/// copy's host has echoed. Four beacons are sent in this time.
inline constexpr core::milliseconds lease_duration{800};
/// A host with a copy takes over the partition when it has received no beacon
/// of the owner for this time. The margin over the lease covers the latency of
/// a beacon between regions and a delayed wake-up of the process.
inline constexpr core::milliseconds takeover_timeout{1200};
/// A copy is replaced when no beacon of its host was received for this time.
inline constexpr core::milliseconds replacement_timeout{1200};
/// A new owner starts to serve after this time even if copies haven't responded
/// with their marks.
inline constexpr core::milliseconds reconcile_timeout{600};

} // namespace amaranthhatch::batches
