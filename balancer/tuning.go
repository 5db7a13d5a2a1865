package balancer

const (
	// panicThreshold is the healthy share below which health is ignored. Within the quarter to half that
	// the design page allows: with about ten hosts a zone's loss should not yet feed the dead ones.
	panicThreshold = 0.3
	// A host with more in flight from here than passOverMean x mean + 1, and passOverFloor, yields.
	passOverMean, passOverFloor = 1.5, 2.0
	// farShare: where warm keys cost less work, a host that is not a key's first in its zone or beyond takes
	// it only up to this share of its limit. Else overload scatters the keys and makes more work.
	farShare = 0.6
	// localityPrice is the crossing price at which hosts of other zones are only picked when all of this
	// zone's are passed over; below it their rendezvous weight shrinks in proportion.
	localityPrice     = 0.06
	farRank, lastRank = 1e-6, 1e12 // of other zones at that price; behind every rendezvous score

	thinBelow = 0.2 // in flight to a mean host, limits hardly ever bind: answers and peers tell of load
	// loadedAbove is the load, by how near answers are to being late, above which a zone is short of room.
	loadedAbove, loadStep = 0.7, 0.2 // loadStep: the weight of one answer

	// A host's admitted share falls by admitGain a second for each unit that the load it shows is above what
	// is wanted: admitOver over the mean, and between loadedAbove and mostLoad. Peers are told of a change
	// of tellStep in its logarithm, as far as tellShare of a full message for each request goes.
	admitGain                       = 0.7
	admitAims                       = 128.0 // until a share has faded back to one, in longest aims
	admitLeast, admitOver, mostLoad = 0.05, 0.15, 0.95
	// Alone, a proxy hears of a host one answer in seconds, and each moves its share by aloneStep. Wanted is
	// then the mean time that answers of the class take: shares move long before hosts are late. With more
	// than aloneMost proxies to a host, or aloneBelow in flight to a mean one, shares by time do better.
	aloneMost, aloneBelow  = 4, 0.03
	aloneStep              = 4.2
	tellStep               = 0.2
	tellShare              = 0.3
	tellSaved, fullMessage = 100.0, 256.0 // messages saved up at the most, bytes in one

	wholeShare = 223              // the word for a whole admitted share; above it stand classes
	classWords = 255 - wholeShare // classes of which peers are told

	// A host is out for a class of which it lost lostSure attempts lately, and over lostMost halves of all
	// that it lost. Losses fade over lostAims longest aims, from lostSure on lostSlower as slowly.
	lostAims, lostSure, lostMost, lostKept, lostSlower = 32.0, 8.0, 1.5, 16.0, 4.0

	ejectAt = 0.4 // share of failures

	lateDoubt = 2.0 // with 1/lateDoubt of all attempts late, lateness says nothing about a single host

	// zoneOutAfter failed connections to a zone in a row: it is lost. Thin traffic hardly meets a host twice.
	zoneOutAfter, zoneOutAims = 4, 1.0 // out for so many longest aims
	ejectAims                 = 4.0    // an ejection, in longest aims; the failure share outlasts it

	// A thin proxy meets a host too seldom to wait for a share: one failure puts the host in doubt for as
	// long as an ejection, each further one in a row doubles that, up to doubtMost times. sureBad is the
	// weight of a failure that counts. More than doubtShare of the counted in doubt: not they, as in panic.
	doubtMost, sureBad, doubtShare = 16.0, 0.5, 0.25

	markShare = 0.45 // of the aim: an attempt still out by then counts as late

	// windowStart is the first limit of requests in flight to a host of mean size. Answers under growBelow
	// of their aim let a limit in use grow by about one in that time; an attempt past its mark cuts it by
	// windowCut, once for what was out together. Short queues keep hosts from where crowding slows them.
	windowStart, growBelow, windowCut = 2.0, 0.22, 0.5

	giveWay        = 5.0 // times the share of dearer work without room: the chance to give way
	repeatsGiveWay = 6.0 // times the share of late attempts: the chance of a repeat to give way
	holdShare      = 0.2 // of the aim a request may wait here for room, if that seems long enough

	mostTries = 2 // of a request, failed connections aside

	// coldSafety of a cold host's budget is used: the rest covers chance, and warm keys, which it lacks. As
	// it warms up that grows to coldMost, or to what makes its share a warm host's: at a fifth until the
	// end, hosts nearly warm idle while a few others carry a fleet of which most is new.
	coldSafety, coldMost = 0.2, 1.0 / 3

	memoryAims = 8.0   // memory of rates, in longest aims
	leastAim   = 0.01  // seconds; guards against settings without an aim
	tickAims   = 0.25  // the balancer's own timer, in longest aims
	firstWork  = 0.125 // share of its aim that a class's work is taken for at first
	meanStep   = 0.05  // weight of one answer in a mean

	watchTries                = 2.5      // calls for the list that fit into AskWithin while none is answered
	watchSoonest, watchSpread = 0.1, 0.4 // when to ask again after a failure, as parts of that
)

// The kinds of failure of which a host has a share: no answer, and one that broke off or cannot be read.
const failed, broken = 0, 1

// judgeStep is the weight of one outcome in those shares: two failures in a row eject, or five broken
// answers. Where connections break under any host now and then, two together are no sign of sickness.
var judgeStep = [2]float64{0.25, 0.1}

// Timer tokens hold a purpose, an attempt and a request id, which is below 2^52.
const (
	timerMark uint64 = iota
	timerTick
	timerWatch
	timerHold
	tokenKind    = 60
	tokenAttempt = 52
	mostAttempts = 1 << (tokenKind - tokenAttempt)
)
