// Command standin-2 plays the cases of the second review: it starts entries of
// kingcupturn as separate processes and stands in for the platform's store, the
// servers, the operator and the clients, all on loopback addresses.
package main
